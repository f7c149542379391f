#include "gateway/directory_system.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "gateway/cluster_codec.h"
#include "gateway/era_key.h"
#include "gateway/range_grant_system.h"
#include "gateway/routing_snapshot.h"
#include "store/store_version.h"
#include "support/gateway_world.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOld = "server-old";
constexpr const char* kNew = "server-new";

/// A host that reads registrations of two servers at one address.
class ReplacedServerTest : public testing::Test {
 protected:
  ReplacedServerTest() { ApplyConfiguration(); }

  void ApplyConfiguration() {
    m_directory.ApplyOperatorRows(m_tables, {{"config", "1 0", 1, false}}, true,
                                  m_now);
  }

  void Apply(const char* server, uint64_t version, bool complete = false) {
    ApplyRows({MakeRow(server, version)}, complete);
  }

  static StoredRow MakeRow(const char* server, uint64_t version) {
    return {server, "10.1.0.2:80 dc-1 0 1", version, false};
  }

  void ApplyRows(const std::vector<StoredRow>& rows, bool complete) {
    m_directory.ApplyServerRows(m_tables, rows, complete, m_now);
  }

  bool HasEnded(const char* server) {
    const ServerRow* row = FindServer(m_tables, server);
    return row->m_ended && !row->m_registered;
  }

  FakeDirectoryDecoder m_decoder;
  DirectorySystem m_directory{m_decoder};
  GatewayTables m_tables;
  Now m_now{TimePoint() + seconds(100), WallTime(), BootTime(seconds(100))};
};

// Requests went on to the address of a server that had ended, and reached a
// server of another service, until the old registration had expired.
TEST_F(ReplacedServerTest, ServerHasEndedOnceAnotherHasItsAddress) {
  Apply(kOld, 1);
  Apply(kNew, 2);
  EXPECT_TRUE(HasEnded(kOld));
  EXPECT_FALSE(HasEnded(kNew));
  const auto snapshot = BuildSnapshot(m_tables);
  const auto& servers = snapshot->FindEndpoints("catalogue")->m_servers;
  EXPECT_LT(servers.at(kOld).m_send_until, m_now.m_steady);
  EXPECT_TRUE(servers.at(kNew).m_eligible);
}

TEST_F(ReplacedServerTest, TheOrderOfTheRowsDoesNotMatter) {
  ApplyRows({MakeRow(kNew, 2), MakeRow(kOld, 1)}, true);
  EXPECT_TRUE(HasEnded(kOld));
  EXPECT_FALSE(HasEnded(kNew));
  ApplyRows({MakeRow(kNew, 3), MakeRow(kOld, 1)}, true);
  EXPECT_TRUE(HasEnded(kOld));
  EXPECT_FALSE(HasEnded(kNew));
}

// After servers had started again behind a cut, rows of their earlier lives
// were written late. A leader took these for the servers that were there and
// gave away the keys of the new lives while these held them.
TEST_F(ReplacedServerTest, LateRowOfAServerThatHasEndedEndsNoOther) {
  const StoredRow young = {kNew, "10.1.0.2:80 dc-1 0 2", 1, false};
  const StoredRow late = {kOld, "10.1.0.2:80 dc-1 0 1", 2, false};
  for (const auto& rows : {std::vector<StoredRow>{young, late},
                           std::vector<StoredRow>{late, young}}) {
    m_tables = GatewayTables();
    ApplyConfiguration();
    ApplyRows(rows, true);
    EXPECT_TRUE(HasEnded(kOld));
    EXPECT_FALSE(HasEnded(kNew));
  }
  m_tables = GatewayTables();
  ApplyConfiguration();
  ApplyRows({young}, false);
  ApplyRows({late}, false);
  EXPECT_TRUE(HasEnded(kOld));
  EXPECT_FALSE(HasEnded(kNew));
}

// An entry of another writer, of a service that is not configured and with the
// address of a server, ended that server, and its keys were given away.
TEST_F(ReplacedServerTest, ServerOfAnUnknownServiceEndsNoOther) {
  const StoredRow row = {kOld, "10.1.0.2:80 dc-1 0 1", 1, false};
  const StoredRow foreign = {kNew, "10.1.0.2:80 dc-1 0 2 other", 2, false};
  ApplyRows({row, foreign}, true);
  EXPECT_FALSE(HasEnded(kOld));
  // The same if the services are not known yet.
  m_tables = GatewayTables();
  ApplyRows({row, foreign}, true);
  ApplyConfiguration();
  EXPECT_FALSE(HasEnded(kOld));
}

// A process that starts may read the servers before the configuration.
TEST_F(ReplacedServerTest, ServersAreComparedOnceTheirServicesAreKnown) {
  m_tables = GatewayTables();
  Apply(kOld, 1);
  Apply(kNew, 2);
  ApplyConfiguration();
  EXPECT_TRUE(HasEnded(kOld));
  EXPECT_FALSE(HasEnded(kNew));
}

// The same where the earlier life had been registered, its row had expired, and
// the row came back unchanged.
TEST_F(ReplacedServerTest, ServerWhoseRowHadExpiredHasEndedOnceReplaced) {
  Apply(kOld, 1);
  ApplyRows({{kOld, "", 2, true}}, false);
  ApplyRows({{kNew, "10.1.0.2:80 dc-1 0 2", 3, false}}, false);
  Apply(kOld, 4);
  EXPECT_TRUE(HasEnded(kOld));
  EXPECT_FALSE(HasEnded(kNew));
}

TEST_F(ReplacedServerTest, ServerThatStartsAgainElsewhereIsUsed) {
  Apply(kOld, 1);
  Apply(kNew, 2);
  ApplyRows({{kOld, "10.1.0.3:80 dc-1 0 2", 3, false}}, false);
  EXPECT_FALSE(HasEnded(kOld));
  EXPECT_FALSE(HasEnded(kNew));
}

// A server that has ended holds no keys, so nothing waits for its grants.
TEST_F(ReplacedServerTest, ItsKeysAreGrantedWithoutACallToIt) {
  Apply(kOld, 1);
  Apply(kNew, 2);
  ApplyRows({{"server-next", "10.1.0.3:80 dc-1 0 1", 3, false}}, false);
  m_tables.m_leader_lease.m_phase = LeaderLeasePhase::kLeader;
  m_tables.m_leader_lease.m_authority_until = m_now.m_boot + seconds(2);
  RangeRow range;
  range.m_service = m_tables.m_services.Insert({});
  range.m_owner = "server-next";
  range.m_previous_owners = {{kOld}};
  range.m_phase = RangePhase::kReleasing;
  range.m_granted_until = m_now.m_steady + seconds(10);
  range.m_owner_incarnation = 1;
  m_tables.m_ranges.Insert(std::move(range));
  RangeGrantSystem::Run(m_tables, m_now);
  ASSERT_EQ(m_tables.m_outbox.size(), 1U);
  const auto* grant = std::get_if<GrantCommand>(&m_tables.m_outbox.front());
  ASSERT_TRUE(grant);
  EXPECT_EQ(grant->m_server, "server-next");
}

// Nothing in the log told which server had taken over an address, and when the
// two had started.
TEST_F(ReplacedServerTest, ReplacementIsLoggedOnceByTheLeader) {
  m_tables.m_leader_lease.m_phase = LeaderLeasePhase::kLeader;
  Apply(kOld, 1);
  ApplyRows({{kNew, "10.1.0.2:80 dc-1 0 5", 2, false}}, false);
  ApplyRows({{kNew, "10.1.0.2:80 dc-1 0 5", 3, false}}, false);
  const auto is_replaced = [](const PendingEvent& event) {
    return std::ranges::any_of(event.m_fields, [](const EventField& field) {
      return field.m_name == "successor";
    });
  };
  ASSERT_EQ(std::ranges::count_if(m_tables.m_events, is_replaced), 1);
  const PendingEvent& event =
      *std::ranges::find_if(m_tables.m_events, is_replaced);
  std::map<std::string_view, std::variant<int64_t, std::string>> fields;
  for (const EventField& field : event.m_fields) {
    fields[field.m_name] = field.m_value;
  }
  const std::map<std::string_view, std::variant<int64_t, std::string>>
      expected = {{"cell", "catalogue"}, {"address", "10.1.0.2:80"},
                  {"server", kOld},      {"incarnation", int64_t{1}},
                  {"successor", kNew},   {"successor_incarnation", int64_t{5}}};
  EXPECT_EQ(fields, expected);
}

TEST_F(ReplacedServerTest, LaterStartOfAServerIsLogged) {
  m_tables.m_leader_lease.m_phase = LeaderLeasePhase::kLeader;
  Apply(kOld, 1);
  ApplyRows({{kOld, "10.1.0.2:80 dc-1 0 5", 2, false}}, false);
  const PendingEvent& event = m_tables.m_events.back();
  const auto field = std::ranges::find(event.m_fields, "successor_incarnation",
                                       &EventField::m_name);
  ASSERT_NE(field, event.m_fields.end());
  EXPECT_EQ(std::get<int64_t>(field->m_value), 5);
}

/// A host that reads registrations of several starts of one server. The
/// incarnation is the time of the start by the server's clock.
class HeldRegistrationTest : public ReplacedServerTest {
 protected:
  void Apply(int64_t incarnation, uint64_t version, bool draining = false) {
    const std::string value = "10.1.0.2:80 dc-1 " + std::to_string(draining) +
                              " " + std::to_string(incarnation);
    ApplyRows({{kOld, value, version, false}}, false);
  }

  void RunFor(milliseconds time) {
    m_now.m_steady += time;
    DirectorySystem::Run(m_tables, m_now);
  }

  int64_t Incarnation() {
    return FindServer(m_tables, kOld)->m_entry.m_incarnation;
  }
};

// A server whose clock had stepped back would not have been used at all.
TEST_F(HeldRegistrationTest, OlderStartIsUsedAfterTheHoldTime) {
  Apply(5, 1);
  Apply(3, 2);
  RunFor(milliseconds(2400));
  EXPECT_EQ(Incarnation(), 5);
  RunFor(milliseconds(200));
  EXPECT_EQ(Incarnation(), 3);
}

// The late registration of a start that this process had not seen moved the
// keys of the server that was there.
TEST_F(HeldRegistrationTest, ServerThatRegistersAgainEndsTheHold) {
  Apply(5, 1);
  Apply(3, 2, true);
  Apply(5, 3);
  RunFor(seconds(5));
  EXPECT_EQ(Incarnation(), 5);
}

// A start that was replaced by mistake has to come back, and rows that arrive
// late do so together.
TEST_F(HeldRegistrationTest, ReplacedStartIsUsedIfItWritesAfterTheHoldTime) {
  Apply(3, 1);
  Apply(5, 2);
  Apply(3, 3);
  Apply(3, 4, true);
  RunFor(seconds(5));
  EXPECT_EQ(Incarnation(), 5);
  Apply(3, 4, true);  // the same row, read once more
  EXPECT_EQ(Incarnation(), 5);
  Apply(3, 5);
  EXPECT_EQ(Incarnation(), 3);
}

// The later start lost its keys as the late row in place of its own expired.
TEST_F(HeldRegistrationTest, ExpiryOfALateRowLeavesTimeToRegisterAgain) {
  Apply(3, 1);
  Apply(5, 2);
  Apply(3, 3);
  ApplyRows({{kOld, "", 4, true}}, false);
  RunFor(milliseconds(2100));
  EXPECT_TRUE(FindServer(m_tables, kOld)->m_registered);
  RunFor(milliseconds(200));
  EXPECT_FALSE(FindServer(m_tables, kOld)->m_registered);
}

// A datagram to such an address cannot be sent: the message did not reach the
// members after it in the list, and a relay stopped receiving.
TEST(DirectorySystemTest, MemberWithAnUnusableAddressIsIgnored) {
  const FakeDirectoryDecoder decoder;
  const DirectorySystem directory(decoder);
  GatewayTables tables;
  const auto row = [](const std::string& address) {
    return StoredRow{kMemberPrefix + address,
                     EncodeRecord(MemberRecord{address, "1", "dc-1", 1}), 1,
                     false};
  };
  directory.ApplyClusterRows(
      tables, {row("no-address:1"), row("10.1.0.3:7360"), row("10.1.0.4")},
      true, {});
  EXPECT_EQ(tables.m_members.size(), 1U);
  EXPECT_EQ(tables.m_events.size(), 2U);
}

// The record counted as lost in every era but the first and was then expected
// at version 0, so no later record, nor a new order, could be written. Writes
// that expect a bare 0 are also not checked for a change of the era.
TEST(DirectorySystemTest, AFullReadingFindsTheRolloutRecordOfItsEra) {
  const FakeDirectoryDecoder decoder;
  const DirectorySystem directory(decoder);
  for (const uint64_t era : {0, 2}) {
    GatewayTables tables;
    tables.m_store_era.m_era = era;
    RolloutRecord record;
    record.m_service = "s";
    record.m_target = "v2";
    record.m_order = MakeStoreVersion(era, 5);
    const uint64_t version = MakeStoreVersion(era, 7);
    const StoredRow stored{
        EncodeEraKey({era, kRolloutRecordPrefix + record.m_service}),
        EncodeRecord(record), version, false};
    directory.ApplyClusterRows(tables, {stored}, true, {});
    ASSERT_EQ(tables.m_rollouts.size(), 1U);
    tables.m_rollouts.ForEach([&](RolloutId, const RolloutRow& row) {
      EXPECT_EQ(row.m_record_version, version);
      EXPECT_TRUE(row.m_record_stored);
    });
    directory.ApplyClusterRows(tables, {}, true, {});
    tables.m_rollouts.ForEach([&](RolloutId, const RolloutRow& row) {
      EXPECT_EQ(row.m_record_version, MakeStoreVersion(era, 0));
      EXPECT_FALSE(row.m_record_stored);
    });
  }
}

}  // namespace
}  // namespace foxtail
