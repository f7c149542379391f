#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <set>

#include "core/error.h"
#include "core/event.h"
#include "daemon/daemon_settings.h"
#include "entry/entry_settings.h"
#include "gateway/gateway_settings.h"

namespace foxtail {
namespace {

std::string ReadDoc(const std::string& name) {
  std::ifstream file(std::string(FOXTAIL_SOURCE) + "/docs/" + name);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

TEST(DocsTest, EventsPageMatchesCatalogue) {
  std::string table;
  int last = 0;
  for (const EventInfo& event : EventCatalogue()) {
    const int number = static_cast<int>(event.m_number);
    EXPECT_GT(number, last) << "event numbers must ascend";
    last = number;
    table += fmt::format("| {} | {} | {} | {} |\n", number, event.m_name,
                         event.m_fields.empty() ? "none" : event.m_fields,
                         event.m_brief);
  }
  EXPECT_NE(ReadDoc("EVENTS.md").find(table), std::string::npos) << table;
}

TEST(DocsTest, ErrorsPageMatchesTableOfErrors) {
  std::string table;
  std::set<std::string_view> names;
  for (const ErrorInfo& error : AllErrors()) {
    EXPECT_TRUE(names.insert(error.m_name).second);
    EXPECT_EQ(ErrorCodeFromName(error.m_name), error.m_code);
    table += fmt::format("| {} | {} | {} | {} |\n", error.m_name,
                         error.m_http_status, NameOf(error.m_execution),
                         error.m_brief);
  }
  EXPECT_NE(ReadDoc("ERRORS.md").find(table), std::string::npos) << table;
}

TEST(DocsTest, SettingsPageContainsTables) {
  const std::string page = ReadDoc("SETTINGS.md");
  const std::string entry =
      SettingsMarkdown(SpecsOf(EntrySettingRows(), EntrySettings()));
  EXPECT_NE(page.find(entry), std::string::npos) << entry;
  const std::string control =
      SettingsMarkdown(SpecsOf(DaemonSettingRows(), DaemonSettings()));
  EXPECT_NE(page.find(control), std::string::npos) << control;
  const std::string gateway =
      SettingsMarkdown(SpecsOf(GatewaySettingRows(), GatewaySettings()));
  EXPECT_NE(page.find(gateway), std::string::npos) << gateway;
}

}  // namespace
}  // namespace foxtail
