#include "ctl/config_check.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/json.h"
#include "platform/operator_config_reader.h"

namespace foxtail {
namespace {

constexpr const char* kGood = R"({"version": "0c",
 "routes": [{"name": "r", "host": "a.example", "prefix": "/",
  "route_type": "safe", "timeout_s": 1, "service": "s"}],
 "services": [{"name": "s"}],
 "tenants": [{"name": "w", "api_keys": ["secret"]}]})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

/// Checks files in a directory of its own.
class ConfigCheckTest : public testing::Test {
 protected:
  ConfigCheckTest() {
    m_directory = std::filesystem::temp_directory_path() /
                  ("config-check-" + std::to_string(getpid()));
    std::filesystem::create_directories(m_directory);
  }

  ~ConfigCheckTest() override { std::filesystem::remove_all(m_directory); }

  std::string Write(const std::string& name, const std::string& text) {
    const std::string path = m_directory / name;
    std::ofstream(path) << text;
    return path;
  }

  int Check(const std::string& file,
            const std::string& against = "",
            bool json = false) {
    m_out.str("");
    return ConfigCheck(m_reader, m_out).Run({file, against, json});
  }

  std::filesystem::path m_directory;
  OperatorConfigReader m_reader;
  std::ostringstream m_out;
};

TEST_F(ConfigCheckTest, NothingFoundEndsWithZero) {
  EXPECT_EQ(Check(Write("next", kGood)), 0);
  EXPECT_EQ(m_out.str(), "0 errors, 0 warnings\n");
}

TEST_F(ConfigCheckTest, FindingsAreToldWithLineAndFieldAndEndWithOne) {
  const std::string file =
      Write("next", Replace(kGood, "\"service\": \"s\"", "\"service\": \"t\""));
  EXPECT_EQ(Check(file), 1);
  EXPECT_EQ(m_out.str(),
            file +
                ":3: error: routes[0].service: unknown service 't' "
                "[service_unknown]\n" +
                file +
                ":4: warning: services[0].name: no route uses service "
                "'s' [service_unused]\n1 errors, 1 warnings\n");
}

TEST_F(ConfigCheckTest, FilesThatCannotBeCheckedEndWithTwo) {
  const std::string good = Write("good", kGood);
  const std::string torn = Write("torn", "{\"version\":\n");
  EXPECT_EQ(Check((m_directory / "missing").string()), 2);
  EXPECT_EQ(Check(m_directory.string()), 2);
  EXPECT_EQ(Check(torn), 2);
  EXPECT_NE(m_out.str().find("Line 2"), std::string::npos) << m_out.str();
  EXPECT_EQ(Check(good, torn), 2);
  // No version with an error can be in force.
  EXPECT_EQ(Check(good, Write("bad", Replace(kGood, "\"0c\"", "\"x\""))), 2);
}

// Differences are what is meant to change, so they are no findings.
TEST_F(ConfigCheckTest, DifferencesFromTheVersionInForceAreTold) {
  std::string text = Replace(kGood, "\"0c\"", "\"0d\"");
  text = Replace(text, "\"timeout_s\": 1", "\"timeout_s\": 2");
  const std::string next = Write("next", Replace(text, "\"w\"", "\"x\""));
  EXPECT_EQ(Check(next, Write("now", kGood)), 0);
  EXPECT_EQ(m_out.str(),
            "changed routes 'r': timeout_s: 1 -> 2\n"
            "removed tenants 'w'\nadded tenants 'x'\n"
            "0 errors, 0 warnings, 3 differences\n");
}

// The daemons ignore such a version without a word.
TEST_F(ConfigCheckTest, VersionThatIsNotNewerIsAnError) {
  const std::string file = Write("next", kGood);
  EXPECT_EQ(Check(file, file), 1);
  EXPECT_NE(m_out.str().find("[version_not_newer]"), std::string::npos);
}

TEST_F(ConfigCheckTest, JsonHasFindingsAndDifferences) {
  const std::string next = Write(
      "next", Replace(Replace(kGood, "\"0c\"", "\"0d\""), "\"name\": \"s\"",
                      "\"name\": \"s\", \"max_conns\": 0"));
  EXPECT_EQ(Check(next, Write("now", kGood), true), 1);
  const Json::Value json = ParseJson(m_out.str());
  ASSERT_EQ(json["findings"].size(), 1U);
  EXPECT_EQ(json["findings"][0]["rule"], "connections_zero");
  EXPECT_EQ(json["findings"][0]["line"], 4);
  EXPECT_EQ(json["findings"][0]["field"], "services[0].max_conns");
  ASSERT_EQ(json["differences"].size(), 1U);
  EXPECT_EQ(json["differences"][0]["field"], "max_conns");
  EXPECT_EQ(Check(Write("torn", "{"), "", true), 2);
  EXPECT_TRUE(ParseJson(m_out.str())["failure"].isString());
}

}  // namespace
}  // namespace foxtail
