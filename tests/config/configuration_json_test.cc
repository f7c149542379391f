#include "config/configuration_json.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "core/json.h"

namespace foxtail {
namespace {

Json::Value ReadSample(const std::string& name) {
  std::ifstream file(std::string(FOXTAIL_SOURCE) + "/samples/" + name);
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  return ParseJson(text);
}

std::vector<std::string> ErrorPathsOf(const Json::Value& document) {
  std::vector<ValidationError> errors;
  ConfigurationFromJson(document, errors);
  std::vector<std::string> paths;
  for (const ValidationError& error : errors) {
    paths.push_back(error.m_path);
  }
  std::ranges::sort(paths);
  return paths;
}

TEST(ConfigurationJsonTest, SamplesAreValidAndRoundTrip) {
  for (const char* name : {"rosario.json", "jalisco.json"}) {
    std::vector<ValidationError> errors;
    const Configuration first = ConfigurationFromJson(ReadSample(name), errors);
    const Configuration second =
        ConfigurationFromJson(ConfigurationToJson(first), errors);
    EXPECT_TRUE(errors.empty()) << errors.front().m_path;
    EXPECT_EQ(first, second);
  }
}

TEST(ConfigurationJsonTest, ReportsEveryErrorWithItsPath) {
  Json::Value document = ReadSample("rosario.json");
  document["colour"] = "red";
  document["services"][0]["partitions"] = 0;
  document["services"][0]["servers"][1]["address"] = "example:80";
  document["services"][1]["routes"][0]["method"] = "FETCH";
  document["workspaces"][0]["rate_per_second"] = -1;
  document["workspaces"][1]["api_keys"][0]["digest"] = "plain";
  EXPECT_EQ(
      ErrorPathsOf(document),
      (std::vector<std::string>{
          "colour", "services[0].partitions", "services[0].servers[1].address",
          "services[1].routes[0].method", "workspaces[0].rate_per_second",
          "workspaces[1].api_keys[0].digest"}));
}

TEST(ConfigurationJsonTest, ReportsErrorsAcrossElements) {
  Json::Value document = ReadSample("rosario.json");
  document["services"][0]["servers"][1]["name"] = "catalogue-01";
  document["services"][0]["servers"][2]["data_centre"] = "unknown-data-centre";
  document["services"][0]["pinned_keys"][0]["server"] = "unknown-server";
  document["workspaces"][1]["services"][0] = "unknown-service";
  document["workspaces"][2]["api_keys"][0]["digest"] =
      document["workspaces"][0]["api_keys"][0]["digest"];
  EXPECT_EQ(ErrorPathsOf(document),
            (std::vector<std::string>{
                "services[0].pinned_keys[0].server", "services[0].servers[1]",
                "services[0].servers[2].data_centre",
                "workspaces[1].services[0]", "workspaces[2].api_keys[0]"}));
}

TEST(ConfigurationJsonTest, ReportsWrongTypesAsErrors) {
  for (const char* text :
       {"[]", "3", "\"x\"", "{\"services\": 3}", "{\"services\": [3]}",
        "{\"services\": [{\"servers\": [null]}]}",
        "{\"workspaces\": [{\"services\": [1]}]}"}) {
    EXPECT_FALSE(ErrorPathsOf(ParseJson(text)).empty()) << text;
  }
}

TEST(ConfigurationTest, HashRangesOfPinContainTheRangeOfItsKey) {
  ServiceConfig service;
  service.m_partitions = 97;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const PartitionNumber range = PartitionOfKey(service, key);
    ASSERT_LT(range, service.m_partitions);
    const auto ranges = HashRangesOfPin(service, PartitionOfPin(key));
    EXPECT_EQ(std::ranges::count(ranges, range), 1) << key;
  }
}

}  // namespace
}  // namespace foxtail
