#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/event.h"
#include "daemon/daemon_settings.h"
#include "entry/entry_settings.h"
#include "gateway/gateway_settings.h"

namespace foxtail {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

std::string ReadDoc(const std::string& name) {
  return ReadFile(fs::path(FOXTAIL_SOURCE) / "docs" / name);
}

std::vector<fs::path> Pages() {
  const fs::path root(FOXTAIL_SOURCE);
  std::vector<fs::path> pages{root / "README.md", root / "CONTRIBUTING.md"};
  for (const auto& entry : fs::directory_iterator(root / "docs")) {
    if (entry.path().extension() == ".md")
      pages.push_back(entry.path());
  }
  return pages;
}

std::vector<std::smatch> FindAll(const std::string& text,
                                 const std::regex& pattern) {
  return {std::sregex_iterator(text.begin(), text.end(), pattern),
          std::sregex_iterator()};
}

// What the pages may name: the words of the code, and its tests as
// "Suite.Name".
struct CodeNames {
  std::set<std::string> m_words;
  std::set<std::string> m_tests;
};

void AddWords(const std::string& text, std::set<std::string>& words) {
  std::string word;
  for (const char c : text + " ") {
    if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_') {
      word += c;
    } else if (!word.empty()) {
      words.insert(std::move(word));
      word.clear();
    }
  }
}

CodeNames ReadCodeNames() {
  static const std::regex definition(
      R"(\bTEST(?:_F|_P)?\(\s*(\w+),\s*(\w+)\s*\))");
  CodeNames names;
  for (const char* folder :
       {"src", "platform", "tests", "benchmarks", "model"}) {
    for (const auto& entry :
         fs::recursive_directory_iterator(fs::path(FOXTAIL_SOURCE) / folder)) {
      if (!entry.is_regular_file())
        continue;
      const std::string text = ReadFile(entry.path());
      AddWords(text, names.m_words);
      if (std::string_view(folder) != "tests")
        continue;
      for (const std::smatch& match : FindAll(text, definition)) {
        names.m_tests.insert(match.str(1) + "." + match.str(2));
        names.m_tests.insert(match.str(1) + ".*");
      }
    }
  }
  return names;
}

// Returns the tests that `page` names and that do not exist.
std::vector<std::string> StaleTests(const std::string& page,
                                    const CodeNames& names) {
  static const std::regex test(R"(\b([A-Z]\w*Test)[./]([A-Z]\w*[a-z]\w*|\*))");
  std::vector<std::string> stale;
  for (const std::smatch& match : FindAll(page, test)) {
    if (!names.m_tests.contains(match.str(1) + "." + match.str(2))) {
      stale.push_back(match.str());
    }
  }
  return stale;
}

// Returns the words of `span` that look like symbols of the code but occur
// nowhere in it. Each part of `A::B()` is a symbol; `Name...` stands for a word
// that begins so.
std::vector<std::string> StaleSymbols(const std::string& span,
                                      const CodeNames& names) {
  static const std::regex whole(R"(\w+(?:(?:::|\.)\w+)*(?:\(\)|\.\.\.)?)");
  static const std::regex symbol(
      R"(\b(?:[A-Z]\w*[a-z]\w*[A-Z]\w*|k[A-Z]\w*|m_[a-z]\w*)\b)");
  static const std::regex part(R"([A-Za-z]\w*)");
  std::vector<std::string> stale;
  if (!std::regex_match(span, whole))
    return stale;
  const bool qualified =
      span.find("::") != std::string::npos || span.ends_with("()");
  const bool shortened = span.ends_with("...");
  for (const std::smatch& match : FindAll(span, qualified ? part : symbol)) {
    const std::string name = match.str();
    const auto word = names.m_words.lower_bound(name);
    const bool exists = word != names.m_words.end() &&
                        (shortened ? word->starts_with(name) : *word == name);
    if (!exists)
      stale.push_back(name);
  }
  return stale;
}

bool IsStalePath(const std::string& span) {
  static const std::regex path(
      R"((?:src|platform|tests|model|scripts|deploy|benchmarks)/[\w./-]*)");
  return std::regex_match(span, path) &&
         !fs::exists(fs::path(FOXTAIL_SOURCE) / span);
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

TEST(DocsTest, PagesNameWhatExists) {
  static const std::regex backticks(R"(`([^`\n]+)`)");
  const CodeNames names = ReadCodeNames();
  for (const fs::path& path : Pages()) {
    const std::string page = ReadFile(path);
    const std::string where = path.filename().string();
    for (const std::string& name : StaleTests(page, names)) {
      ADD_FAILURE() << where << " names a test that is not there: " << name;
    }
    for (const std::smatch& match : FindAll(page, backticks)) {
      const std::string span = match.str(1);
      if (fs::exists(fs::path(FOXTAIL_SOURCE) / span))
        continue;
      for (const std::string& name : StaleSymbols(span, names)) {
        ADD_FAILURE() << where << " names no symbol of the code: " << name;
      }
      if (IsStalePath(span)) {
        ADD_FAILURE() << where << " names a path that is not there: " << span;
      }
    }
  }
}

}  // namespace
}  // namespace foxtail
