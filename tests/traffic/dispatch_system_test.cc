#include "traffic/dispatch_system.h"

#include <gtest/gtest.h>

#include "core/error.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

// A dispatch system with a manual clock and one server "s" that has one slot
// and a queue of two.
class DispatchSystemTest : public testing::Test {
 protected:
  DispatchSystemTest()
      : m_system(DispatchSettings(),
                 {[] { return std::make_unique<FifoQueue>(); },
                  [] { return std::make_unique<FixedLimit>(); }}) {
    m_now.m_steady = TimePoint(std::chrono::hours(1));
    m_now.m_wall = WallTime(milliseconds(1'700'000'000'000));
    m_routes.m_control_epoch = 1;
    m_routes.m_service.m_name = "cell";
    m_routes.m_servers = {{"s", "127.0.0.1:1", 1, 2, "d"}};
    m_routes.m_partitions = {{0, 0, 1, false}, {1, 0, 1, false}};
  }

  // Applies a controller's response that hands over empty deduplication states,
  // as for partitions that no dispatcher owned before.
  bool Apply(bool leased = true, uint64_t number = 0) {
    SyncResponse response;
    response.m_control_epoch = 1;
    response.m_number = number == 0 ? ++m_number : number;
    response.m_authority_ttl = milliseconds(500);
    response.m_lease_ttl = milliseconds(1000);
    m_routes.m_version = response.m_number;
    response.m_routes = std::make_shared<CellRoutes>(m_routes);
    response.m_dedup_states = {{0, milliseconds(0), {}},
                               {1, milliseconds(0), {}}};
    if (leased) {
      response.m_leased_servers = {"s"};
    }
    return m_system.Apply("cell", response, m_now.m_steady, m_now);
  }

  DispatchQuery MakeQuery(const std::string& name, bool idempotent = false) {
    DispatchQuery query;
    query.m_cell = "cell";
    query.m_id = {"1700000000000-" + name, m_now.m_wall};
    query.m_idempotent = idempotent;
    query.m_fingerprint = std::hash<std::string>()(name);
    query.m_deadline = m_now.m_steady + milliseconds(500);
    return query;
  }

  ErrorCode AdmitError(const DispatchQuery& query) {
    try {
      m_system.Admit(query, ++m_ticket, m_now);
    } catch (const Error& error) {
      return error.GetCode();
    }
    return ErrorCode::kInternal;
  }

  SyncRequest BuildReport() {
    SyncRequest report;
    m_system.FillReport("cell", report, m_now);
    return report;
  }

  DispatchSystem m_system;
  CellRoutes m_routes;
  Now m_now;
  uint64_t m_number = 0;
  TicketNumber m_ticket = 0;
};

TEST_F(DispatchSystemTest, RejectsRequestsWithoutALease) {
  EXPECT_EQ(AdmitError(MakeQuery("a")), ErrorCode::kNotDispatcher);
  ASSERT_TRUE(Apply());
  m_system.Admit(MakeQuery("a"), ++m_ticket, m_now);
  m_now.m_steady += milliseconds(1000);
  EXPECT_EQ(AdmitError(MakeQuery("b")), ErrorCode::kNotDispatcher);
}

TEST_F(DispatchSystemTest, IgnoresStaleAndLateResponses) {
  ASSERT_TRUE(Apply(true, 5));
  ASSERT_TRUE(Apply(false, 7));
  EXPECT_FALSE(Apply(true, 6));
  EXPECT_EQ(AdmitError(MakeQuery("a")), ErrorCode::kNotDispatcher);
  SyncResponse late;
  late.m_control_epoch = 1;
  late.m_number = 9;
  late.m_authority_ttl = milliseconds(100);
  late.m_leased_servers = {"s"};
  EXPECT_FALSE(
      m_system.Apply("cell", late, m_now.m_steady - milliseconds(100), m_now));
}

TEST_F(DispatchSystemTest, LimitsRunningAndQueuedRequests) {
  ASSERT_TRUE(Apply());
  const DispatchServerId server = m_system.Admit(MakeQuery("a"), 1, m_now);
  EXPECT_EQ(m_system.AcquireSlot(server)->m_ticket, 1U);
  m_system.Admit(MakeQuery("b"), 2, m_now);
  m_system.Admit(MakeQuery("c"), 3, m_now);
  EXPECT_FALSE(m_system.AcquireSlot(server));
  EXPECT_EQ(AdmitError(MakeQuery("d")), ErrorCode::kServerQueueFull);
}

TEST_F(DispatchSystemTest, SuspectRunsAloneAndIsClearedByAResponse) {
  ASSERT_TRUE(Apply());
  const DispatchQuery query = MakeQuery("a", true);
  const DispatchServerId server = m_system.Admit(query, 1, m_now);
  m_system.AcquireSlot(server);
  m_system.End(query, m_system.Begin(query, server),
               SendOutcome::kConnectionLost, "", milliseconds(1),
               m_now.m_steady);
  ASSERT_EQ(BuildReport().m_suspects.size(), 1U);
  m_system.Admit(query, 2, m_now);
  const auto slot = m_system.AcquireSlot(server);
  ASSERT_TRUE(slot && slot->m_solo);
  m_system.End(query, m_system.Begin(query, server), SendOutcome::kResponded,
               "", milliseconds(1), m_now.m_steady);
  const SyncRequest report = BuildReport();
  ASSERT_EQ(report.m_suspects.size(), 1U);
  EXPECT_TRUE(report.m_suspects[0].m_cleared);
}

TEST_F(DispatchSystemTest, LostRequestDrainsUntilItsDeadline) {
  ASSERT_TRUE(Apply());
  const DispatchQuery query = MakeQuery("a");
  const DispatchServerId server = m_system.Admit(query, 1, m_now);
  m_system.AcquireSlot(server);
  m_system.End(query, m_system.Begin(query, server),
               SendOutcome::kConnectionLost, "", milliseconds(1),
               m_now.m_steady);
  m_routes.m_partitions[0].m_paused = true;
  ASSERT_TRUE(Apply());
  EXPECT_EQ(BuildReport().m_draining_partitions.size(), 1U);
  m_now.m_steady += milliseconds(500);
  EXPECT_FALSE(m_system.Expire(m_now));
  m_now.m_steady += DispatchSettings().m_max_wall_skew;
  EXPECT_TRUE(m_system.Expire(m_now));
  EXPECT_TRUE(BuildReport().m_draining_partitions.empty());
}

// Guards against handing over the id of a request that was still waiting when
// its partition was released: the request was not executed, so the next
// dispatcher must not reject its retry as a duplicate.
TEST_F(DispatchSystemTest, DedupStateContainsOnlyRequestsThatMayHaveRun) {
  ASSERT_TRUE(Apply());
  const DispatchQuery ran = MakeQuery("ran");
  const DispatchQuery waits = MakeQuery("waits");
  const DispatchServerId server = m_system.Admit(ran, 1, m_now);
  m_system.AcquireSlot(server);
  const InFlightId in_flight = m_system.Begin(ran, server);
  m_system.Admit(waits, 2, m_now);
  m_routes.m_partitions[0].m_paused = true;
  ASSERT_TRUE(Apply());
  // The state is incomplete while the other request is in flight.
  EXPECT_TRUE(BuildReport().m_dedup_states.empty());
  m_system.Abandon(waits, server, 2);
  EXPECT_TRUE(m_system.End(ran, in_flight, SendOutcome::kResponded, "",
                           milliseconds(1), m_now.m_steady));
  const SyncRequest report = BuildReport();
  ASSERT_EQ(report.m_dedup_states.size(), 1U);
  ASSERT_EQ(report.m_dedup_states[0].m_accepted.size(), 1U);
  EXPECT_EQ(report.m_dedup_states[0].m_accepted[0].m_hash,
            DedupRegistry::HashOf(ran.m_id));
  m_system.OnReportAcknowledged(report);
  EXPECT_TRUE(BuildReport().m_dedup_states.empty());
}

TEST_F(DispatchSystemTest, IdsAreUnverifiableAfterALeaseLapse) {
  ASSERT_TRUE(Apply());
  m_system.Admit(MakeQuery("a"), ++m_ticket, m_now);
  m_now.m_steady += milliseconds(1500);
  m_routes.m_partitions.pop_back();
  SyncResponse response;
  response.m_control_epoch = 1;
  response.m_number = ++m_number;
  response.m_authority_ttl = milliseconds(500);
  response.m_lease_ttl = milliseconds(1000);
  response.m_leased_servers = {"s"};
  ASSERT_TRUE(m_system.Apply("cell", response, m_now.m_steady, m_now));
  EXPECT_EQ(AdmitError(MakeQuery("a")), ErrorCode::kRequestUnverifiable);
}

}  // namespace
}  // namespace foxtail
