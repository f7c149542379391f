#include "core/settings.h"

#include <gtest/gtest.h>

#include <array>

#include "core/error.h"

namespace foxtail {
namespace {

struct Sample {
  std::string m_name = "fallback";
  uint32_t m_count = 3;
  std::chrono::milliseconds m_wait{50};
};

constexpr std::array<SettingRow<Sample>, 3> kRows = {{
    {"name", "SAMPLE_NAME", "text", 1, 8, "a name", &Sample::m_name},
    {"count", "SAMPLE_COUNT", "things", 1, 10, "a count", &Sample::m_count},
    {"wait", "SAMPLE_WAIT", "ms", 0, 1000, "a time", &Sample::m_wait},
}};

Sample Read(std::vector<const char*> arguments,
            std::vector<const char*> variables) {
  arguments.insert(arguments.begin(), "program");
  variables.push_back(nullptr);
  auto specs = SpecsOf<Sample>(kRows, Sample());
  ReadSettings(static_cast<int>(arguments.size()), arguments.data(),
               variables.data(), "SAMPLE_", specs);
  Sample sample;
  StoreSettings<Sample>(kRows, specs, sample);
  return sample;
}

std::string ErrorDetailOf(const std::vector<const char*>& arguments,
                          const std::vector<const char*>& variables) {
  try {
    Read(arguments, variables);
    return "";
  } catch (const Error& error) {
    EXPECT_EQ(error.GetCode(), ErrorCode::kSettingInvalid);
    return error.GetDetail();
  }
}

TEST(SettingsTest, FlagOverridesVariableAndVariableOverridesDefault) {
  EXPECT_EQ(Read({}, {}).m_count, 3U);
  EXPECT_EQ(Read({}, {"SAMPLE_COUNT=4"}).m_count, 4U);
  EXPECT_EQ(Read({"--count", "5"}, {"SAMPLE_COUNT=4"}).m_count, 5U);
  EXPECT_EQ(Read({"--wait", "70"}, {}).m_wait, std::chrono::milliseconds(70));
}

TEST(SettingsTest, ErrorContainsSettingValueAndAllowedValues) {
  EXPECT_EQ(ErrorDetailOf({"--count", "11"}, {}),
            "--count = '11'; allowed: a whole number from 1 to 10 (things)");
  EXPECT_EQ(ErrorDetailOf({}, {"SAMPLE_COUNT=many"}),
            "SAMPLE_COUNT = 'many'; allowed: a whole number from 1 to 10 "
            "(things)");
  EXPECT_EQ(ErrorDetailOf({"--name", "far-too-long"}, {}),
            "--name = 'far-too-long'; allowed: 1 to 8 characters");
  EXPECT_EQ(ErrorDetailOf({}, {"SAMPLE_COLOUR=red"}),
            "SAMPLE_COLOUR = 'red'; allowed: a variable listed by --help");
  EXPECT_NE(ErrorDetailOf({"--colour", "red"}, {}), "");
  EXPECT_EQ(ErrorDetailOf({}, {"OTHER_COLOUR=red"}), "");
}

}  // namespace
}  // namespace foxtail
