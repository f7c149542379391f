#include "platform/operator_config_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "core/error.h"
#include "platform/operator_rows_decoder.h"

namespace foxtail {
namespace {

// A version without findings. Tests replace parts of it.
constexpr const char* kGood = R"({"version": "0000000c",
 "routes": [
  {"name": "look", "host": "a.example", "prefix": "/look/",
   "route_type": "safe", "timeout_s": 1.2, "target_latency_s": 0.5,
   "priority": 1, "max_attempts": 2,
   "backends": [{"service": "s", "weight": 90},
                {"service": "t", "weight": 10}]},
  {"name": "pay", "host": "a.example", "prefix": "/pay/", "public": false,
   "route_type": "unsafe", "timeout_s": 1, "service": "t"}],
 "services": [
  {"name": "s", "sharded": true, "max_conns": 120, "warmup_s": 3.0,
   "warmup_per_s": 4.9, "protocol": "h1", "tls": false},
  {"name": "t", "max_conns": 121}],
 "limits": {"header_bytes": 16384, "header_timeout_s": 3, "idle_timeout_s": 15},
 "tenants": [
  {"name": "v", "api_keys": ["k1"], "rate_per_s": 73, "burst": 70},
  {"name": "w", "api_keys": ["k2"], "rate_per_s": 0}]})";

/// A fault, and where it is found. Each rule has at least one.
struct Fault {
  const char* m_from;
  const char* m_to;
  const char* m_rule;
  RuleSeverity m_severity;
  uint32_t m_line;
  const char* m_path;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << fault.m_rule << ": " << fault.m_to;
}

constexpr auto kError = RuleSeverity::kError;
constexpr auto kWarning = RuleSeverity::kWarning;

constexpr Fault kFaults[] = {
    {"\"0000000c\"", "\"xyz\"", "field_invalid", kError, 1, "version"},
    {"\"/pay/\"", "5", "field_invalid", kError, 8, "routes[1].prefix"},
    {"\"max_conns\": 120", "\"max_conns\": -1", "field_invalid", kError, 11,
     "services[0].max_conns"},
    {"[\"k1\"]", "[5]", "field_invalid", kError, 16, "tenants[0].api_keys"},
    {"\"weight\": 10", "\"weight\": \"10\"", "field_invalid", kError, 7,
     "routes[0].backends[1].weight"},
    {"\"/pay/\"", "\"/pay\"", "prefix_malformed", kError, 8,
     "routes[1].prefix"},
    {"\"timeout_s\": 1,", "\"timeout_s\": 0,", "timeout_zero", kError, 9,
     "routes[1].timeout_s"},
    {"\"service\": \"t\"}],", "\"backends\": [{\"weight\": 0}]}],",
     "route_without_service", kError, 9, "routes[1].backends"},
    {"\"/pay/\"", "\"/look/\"", "route_duplicate", kError, 8,
     "routes[1].prefix"},
    {"\"service\": \"t\"}],", "\"service\": \"u\"}],", "service_unknown",
     kError, 9, "routes[1].service"},
    {"{\"service\": \"t\", \"weight\"", "{\"service\": \"u\", \"weight\"",
     "service_unknown", kError, 7, "routes[0].backends[1]"},
    {"\"unsafe\"", "\"teleport\"", "route_unusable", kWarning, 9,
     "routes[1].route_type"},
    {"\"host\": \"a.example\", \"prefix\": \"/pay/\"",
     "\"host\": \"a.example:80\", \"prefix\": \"/pay/\"", "host_with_port",
     kWarning, 8, "routes[1].host"},
    {"\"/pay/\"", "\"/pay?x/\"", "prefix_unmatchable", kWarning, 8,
     "routes[1].prefix"},
    {"\"max_conns\": 121}", "\"max_conns\": 121}, {\"name\": \"u\"}",
     "service_unused", kWarning, 13, "services[2].name"},
    {"\"max_conns\": 121}", "\"max_conns\": 121}, {\"name\": \"t\"}",
     "service_duplicate", kWarning, 13, "services[2].name"},
    {"\"name\": \"w\"", "\"name\": \"v\"", "workspace_duplicate", kWarning, 17,
     "tenants[1].name"},
    {"\"k2\"", "\"k2\", \"k1\"", "key_duplicate", kWarning, 17,
     "tenants[1].api_keys[1]"},
    {"\"k2\"", "\"k2\", \"\"", "key_empty", kWarning, 17,
     "tenants[1].api_keys[1]"},
    {"[\"k2\"]", "[]", "workspace_without_keys", kWarning, 17,
     "tenants[1].api_keys"},
    {"\"tenants\"", "\"others\"", "route_without_keys", kWarning, 3,
     "routes[0].public"},
    {"\"target_latency_s\": 0.5", "\"target_latency_s\": 1.5",
     "latency_above_timeout", kWarning, 4, "routes[0].target_latency_s"},
    {"\"max_attempts\": 2", "\"max_attempts\": 200", "attempts_above_timeout",
     kWarning, 5, "routes[0].max_attempts"},
    {"\"weight\": 90", "\"weight\": 0.9", "weight_zero", kWarning, 6,
     "routes[0].backends[0]"},
    {"\"burst\": 70", "\"burst\": 0.5", "burst_below_one", kWarning, 16,
     "tenants[0].burst"},
    {"\"rate_per_s\": 73", "\"rate_per_s\": 0", "burst_without_rate", kWarning,
     16, "tenants[0].rate_per_s"},
    {"\"max_conns\": 120", "\"max_conns\": 0", "connections_zero", kWarning, 11,
     "services[0].max_conns"},
    {"\"header_timeout_s\": 3", "\"header_timeout_s\": 0",
     "request_timeout_zero", kWarning, 14, "limits.header_timeout_s"},
    {"\"header_timeout_s\": 3", "\"header_timeout_s\": 16",
     "header_timeout_above_idle", kWarning, 14, "limits.header_timeout_s"},
    {"\"header_bytes\": 16384", "\"header_bytes\": 0", "header_limit_zero",
     kWarning, 14, "limits.header_bytes"},
    {"\"max_attempts\": 2", "\"max_attempts\": 0", "attempts_zero", kWarning, 5,
     "routes[0].max_attempts"},
    {"\"target_latency_s\"", "\"target_latency\"", "field_misspelled", kWarning,
     4, "routes[0].target_latency"},
};

std::string WithFault(const Fault& fault) {
  std::string text = kGood;
  const std::string from = fault.m_from;
  return text.replace(text.find(from), from.size(), fault.m_to);
}

bool IsAcceptedByDaemons(const std::string& text) {
  try {
    OperatorRowsDecoder().DecodeConfiguration(text);
    return true;
  } catch (const Error&) {
    return false;
  }
}

class FaultTest : public testing::TestWithParam<Fault> {};

// A fault in a version was known only once it was in force, or not taken.
TEST_P(FaultTest, IsFoundAtItsLineAndField) {
  const Fault& fault = GetParam();
  const ConfigDocument document = OperatorConfigReader().Read(WithFault(fault));
  const auto found = std::ranges::find(document.m_findings, fault.m_rule,
                                       &DocumentFinding::m_rule);
  ASSERT_NE(found, document.m_findings.end());
  EXPECT_EQ(found->m_severity, fault.m_severity);
  EXPECT_EQ(found->m_line, fault.m_line);
  EXPECT_EQ(found->m_path, fault.m_path);
}

// The check and the daemons judged a version differently.
TEST_P(FaultTest, IsRejectedByDaemonsIfItIsAnError) {
  EXPECT_EQ(IsAcceptedByDaemons(WithFault(GetParam())),
            GetParam().m_severity == kWarning);
}

INSTANTIATE_TEST_SUITE_P(Rules, FaultTest, testing::ValuesIn(kFaults));

TEST(OperatorConfigReaderTest, NothingIsFoundInAGoodVersion) {
  EXPECT_TRUE(OperatorConfigReader().Read(kGood).m_findings.empty());
  EXPECT_TRUE(IsAcceptedByDaemons(kGood));
}

// A rule that no document can break is of no use.
TEST(OperatorConfigReaderTest, EachRuleHasAFault) {
  std::set<std::string_view> tested;
  for (const Fault& fault : kFaults) {
    tested.insert(fault.m_rule);
  }
  for (const RoutingRule& rule : AllRoutingRules()) {
    EXPECT_TRUE(tested.contains(rule.m_name)) << rule.m_name;
  }
}

// Operators look up a rule by its name.
TEST(OperatorConfigReaderTest, ThePageNamesEachRule) {
  std::ifstream file(FOXTAIL_SOURCE "/docs/CONFIG-CHECK.md");
  const std::string page{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  for (const Fault& fault : kFaults) {
    EXPECT_NE(page.find("| `" + std::string(fault.m_rule) + "` |"),
              std::string::npos)
        << fault.m_rule;
  }
}

// Only the first error was told, so each of them took another attempt.
TEST(OperatorConfigReaderTest, AllErrorsAreFound) {
  const ConfigDocument document = OperatorConfigReader().Read(
      R"({"version":1,"routes":[{"name":"r"},7],"services":[{}],"limits":[]})");
  EXPECT_EQ(document.m_findings.size(), 8U);
}

// Such documents ended the check or a daemon instead of being rejected.
TEST(OperatorConfigReaderTest, DocumentsOfOtherShapesAreRejected) {
  for (const char* text :
       {"[]", "7", "null", R"({"version":"1","routes":{}})",
        R"({"version":"1","routes":[null]})", R"({"version":"1","limits":7})",
        R"({"version":"1","routes":[{"backends":[7,null]}]})"}) {
    EXPECT_FALSE(OperatorConfigReader().Read(text).m_findings.empty()) << text;
    EXPECT_FALSE(IsAcceptedByDaemons(text)) << text;
  }
}

}  // namespace
}  // namespace foxtail
