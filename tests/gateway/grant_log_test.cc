#include <gtest/gtest.h>

#include <algorithm>

#include "gateway/gateway_tick.h"
#include "gateway/owners_system.h"
#include "gateway/range_grant_system.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "catalogue";
constexpr uint32_t kRanges = 250;
constexpr uint32_t kWidth = 16;
constexpr uint32_t kServers = 4;

KeyRange RangeAt(uint32_t index) {
  return {index * kWidth, index * kWidth + kWidth - 1};
}

std::string ServerAt(uint32_t index) {
  return "server-" + std::to_string(index % kServers);
}

std::string AddressOf(const std::string& server) {
  return server + ".example:80";
}

std::string FieldOf(const PendingEvent& event, std::string_view name) {
  const auto field =
      std::ranges::find(event.m_fields, name, &EventField::m_name);
  if (field == event.m_fields.end()) {
    return "";
  }
  const auto* text = std::get_if<std::string>(&field->m_value);
  return text ? *text : std::to_string(std::get<int64_t>(field->m_value));
}

/// A leader whose service has `kRanges` ranges at `kServers` servers, in turn.
class GrantLogTest : public testing::Test {
 protected:
  GrantLogTest() {
    ServiceRow service;
    service.m_name = kService;
    m_service = m_tables.m_services.Insert(service);
    for (uint32_t i = 0; i < kServers; ++i) {
      ServerRow server;
      server.m_entry.m_id = ServerAt(i);
      server.m_entry.m_address = AddressOf(ServerAt(i));
      server.m_entry.m_service = kService;
      server.m_entry.m_incarnation = kIncarnation;
      m_tables.m_servers_by_id[ServerAt(i)] = m_tables.m_servers.Insert(server);
    }
    LeaderLeaseState& lease = m_tables.m_leader_lease;
    lease.m_phase = LeaderLeasePhase::kLeader;
    lease.m_authority_until = m_now.m_boot + seconds(60);
    // The lease is not renewed in these tests.
    lease.m_call_in_flight = true;
  }

  void TakeOver() {
    OwnersRecord record;
    record.m_number = 1;
    for (uint32_t i = 0; i < kRanges; ++i) {
      record.m_ranges.push_back(
          {RangeAt(i), ServerAt(i), kIncarnation, true, {}});
    }
    OwnersSystem::OnRead(
        m_tables, kService,
        {StoreOutcome::kDone, {{"", EncodeRecord(record), 1, false}}, 1},
        m_now);
    StoreOwners();
  }

  // Stores the owners record with the latest changes.
  void StoreOwners() {
    ++m_tables.m_services.Get(m_service).m_record_number;
    OwnersSystem::OnWritten(m_tables, kService, {StoreOutcome::kDone, 2},
                            m_now);
  }

  // Runs ticks of 10 ms. Grants to `failing` have `outcome`, others succeed.
  void Run(Duration duration,
           const std::string& failing = "",
           ServerCallOutcome outcome = ServerCallOutcome::kDone) {
    const TimePoint until = m_now.m_steady + duration;
    while (m_now.m_steady < until) {
      m_now.m_steady += milliseconds(10);
      m_now.m_boot += milliseconds(10);
      RunGatewayTick(m_tables, m_now);
      for (const ControlCommand& command :
           std::exchange(m_tables.m_outbox, {})) {
        if (const auto* grant = std::get_if<GrantCommand>(&command)) {
          const bool fails = grant->m_server == failing;
          if (fails) {
            m_failed.push_back(*grant);
          }
          RangeGrantSystem::OnGranted(
              m_tables, *grant, fails ? outcome : ServerCallOutcome::kDone,
              m_now);
        }
      }
    }
  }

  std::vector<PendingEvent> Find(const std::string& name) const {
    std::vector<PendingEvent> found;
    std::ranges::copy_if(m_tables.m_events, std::back_inserter(found),
                         [&name](const PendingEvent& event) {
                           const auto info = std::ranges::find(
                               EventCatalogue(), event.m_number,
                               &EventInfo::m_number);
                           return info->m_name == name;
                         });
    return found;
  }

  static constexpr int64_t kIncarnation = 17;
  std::vector<GrantCommand> m_failed;
  GatewayTables m_tables;
  ServiceId m_service;
  Now m_now{TimePoint() + seconds(100), WallTime(), BootTime(seconds(100))};
};

// A new leader wrote a line for each of 250 ranges, though none had moved. The
// lines pushed those of the seconds before out of the kept log.
TEST_F(GrantLogTest, TakeoverOfAllRangesIsOneLine) {
  TakeOver();
  Run(seconds(2));
  EXPECT_EQ(m_tables.m_events.size(), 1U);
  const auto lines = Find("owners_taken_over");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(FieldOf(lines[0], "confirmed"), std::to_string(kRanges));
  EXPECT_EQ(FieldOf(lines[0], "unconfirmed"), "0");
}

TEST_F(GrantLogTest, TakeoverNamesTheRangesThatAreNotConfirmed) {
  TakeOver();
  Run(milliseconds(1100), "server-1", ServerCallOutcome::kFenced);
  const auto lines = Find("owners_taken_over");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(FieldOf(lines[0], "unconfirmed"), "63");
  EXPECT_TRUE(FieldOf(lines[0], "ranges")
                  .starts_with("server-1:" + NameOf(RangeAt(1)) + ","));
}

/// Calls to one server fail, all with the outcome of the parameter.
class FailedCallsTest : public GrantLogTest,
                        public testing::WithParamInterface<ServerCallOutcome> {
};

// Each failed call of each of a server's 63 ranges was a line of its own, and
// told neither the address nor the start of the server that was called.
TEST_P(FailedCallsTest, CallsToOneServerAreSummedUp) {
  TakeOver();
  Run(seconds(2));
  m_tables.m_events.clear();
  Run(seconds(2), "server-1", GetParam());
  Run(seconds(6));
  EXPECT_LE(Find("order_failed").size(), 3U);
  const auto lines = Find("order_failed");
  ASSERT_GE(lines.size(), 2U);
  EXPECT_EQ(FieldOf(lines[0], "order"), "grant");
  EXPECT_EQ(FieldOf(lines[0], "server"), "server-1");
  EXPECT_EQ(FieldOf(lines[0], "address"), AddressOf("server-1"));
  EXPECT_EQ(FieldOf(lines[0], "incarnation"), std::to_string(kIncarnation));
  EXPECT_EQ(FieldOf(lines[0], "outcome"), NameOf(GetParam()));
  ASSERT_GE(m_failed.size(), 63U);
  int64_t calls = 0;
  for (const PendingEvent& line : lines) {
    EXPECT_EQ(FieldOf(line, "partition"), NameOf(m_failed.at(calls).m_keys));
    EXPECT_EQ(FieldOf(line, "epoch"),
              std::to_string(m_failed.at(calls).m_fence));
    calls += std::stoll("0" + FieldOf(line, "calls"));
    ASSERT_LE(calls, std::ssize(m_failed));
  }
  EXPECT_EQ(calls, std::ssize(m_failed));
}

// A server whose calls failed and succeeded in turn was logged as down with
// each failure, up to several times a second.
TEST_F(GrantLogTest, ServerWithSomeFailedCallsIsLoggedAsDownOnce) {
  TakeOver();
  Run(seconds(2));
  for (int i = 0; i < 20; ++i) {
    for (const auto outcome :
         {ServerCallOutcome::kGone, ServerCallOutcome::kDone}) {
      m_now.m_steady += milliseconds(50);
      GrantCommand grant;
      grant.m_server = "server-1";
      grant.m_incarnation = kIncarnation;
      grant.m_range = m_tables.m_ranges.FindIf(
          [](const RangeRow& row) { return row.m_owner == "server-1"; });
      RangeGrantSystem::OnGranted(m_tables, grant, outcome, m_now);
    }
  }
  EXPECT_EQ(Find("server_down").size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Outcomes,
                         FailedCallsTest,
                         testing::Values(ServerCallOutcome::kUnknown,
                                         ServerCallOutcome::kGone,
                                         ServerCallOutcome::kReplaced,
                                         ServerCallOutcome::kFenced,
                                         ServerCallOutcome::kRejected));

// Only failures with other outcomes were logged, so nothing told that another
// server had rejected a release.
TEST_F(GrantLogTest, ReleaseThatAnotherServerRejectsIsLogged) {
  ReleaseCommand release;
  release.m_server = "server-1";
  release.m_address = AddressOf("server-1");
  release.m_fence = 9;
  RangeGrantSystem::OnReleased(m_tables, release, ServerCallOutcome::kReplaced,
                               "", m_now);
  const auto lines = Find("order_failed");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(FieldOf(lines[0], "order"), "release");
  EXPECT_EQ(FieldOf(lines[0], "outcome"), "replaced");
  EXPECT_EQ(FieldOf(lines[0], "epoch"), "9");
}

// The loss of a server wrote two lines for each of its ranges.
TEST_F(GrantLogTest, MovesOfOneStepNameEachRangeInAFewLines) {
  TakeOver();
  Run(seconds(2));
  m_tables.m_progress[kServerRows].m_loaded = true;
  FindServer(m_tables, "server-1")->m_ended = true;
  FindServer(m_tables, "server-1")->m_registered = false;
  m_tables.m_events.clear();
  Run(milliseconds(10));
  const size_t started = m_tables.m_events.size();
  EXPECT_LE(started, 3U);
  const auto moving = Find("partitions_moving");
  ASSERT_GE(moving.size(), 1U);
  int64_t moves = 0;
  std::string ranges;
  for (const PendingEvent& line : moving) {
    moves += std::stoll("0" + FieldOf(line, "count"));
    ranges += FieldOf(line, "ranges") + " ";
  }
  EXPECT_GE(moves, 63);
  EXPECT_NE(ranges.find("server-1>server-"), std::string::npos);
  const std::string first = std::to_string(RangeAt(1).m_first) + "-";
  EXPECT_NE(ranges.find(":" + first), std::string::npos) << ranges;

  StoreOwners();
  Run(seconds(2));
  const auto moved = Find("partitions_moved");
  ASSERT_GE(moved.size(), 1U);
  EXPECT_LE(moved.size(), 4U);
  EXPECT_NE(FieldOf(moved[0], "ranges").find("@"), std::string::npos);
  EXPECT_NE(FieldOf(moved[0], "ranges").find("+"), std::string::npos);
}

}  // namespace
}  // namespace foxtail
