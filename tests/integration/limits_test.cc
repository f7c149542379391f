#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "control/control_tables.h"
#include "core/json.h"
#include "support/load_generator.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Tolerance in tokens, for records whose order differs from that of their clock
// readings.
constexpr double kTokenTolerance = 1;

// Returns a description of the first moment at which more requests of a
// workspace had begun than rate and burst allow, or an empty string.
std::string FindOverRate(const std::vector<RunRecord>& records,
                         const std::string& workspace,
                         double rate,
                         double burst) {
  // A token bucket with this rate and burst, applied to the begin times that
  // the servers recorded.
  double level = burst;
  int64_t last = 0;
  size_t count = 0;
  for (const RunRecord& record : records) {
    if (record.m_workspace != workspace || record.m_event != "begin") {
      continue;
    }
    if (last != 0) {
      level += rate * static_cast<double>(record.m_time_us - last) / 1e6;
      level = std::min(level, burst);
    }
    last = record.m_time_us;
    level -= 1;
    ++count;
    if (level < -kTokenTolerance) {
      return workspace + " is over by " + std::to_string(-level) + " after " +
             std::to_string(count) + " requests";
    }
  }
  return "";
}

class LimitsTest : public testing::Test {
 protected:
  static constexpr double kRate = 50;
  static constexpr double kBurst = 20;

  void Start(const ClusterSettings& settings) {
    m_cluster = std::make_unique<Cluster>(settings);
    m_cluster->Start();
  }

  static ClusterSettings RateSettings() {
    ClusterSettings settings;
    settings.m_hosts = 4;
    settings.m_workspaces = {{"club-1", kRate, kBurst, 1},
                             {"club-2", kRate, kBurst, 1}};
    return settings;
  }

  LoadSettings FloodLoadSettings() const {
    LoadSettings load;
    load.m_hosts = {0, 1, 2, 3};
    load.m_workspaces = {"club-1"};
    load.m_fibers = 24;
    load.m_non_idempotent_percent = 0;
    return load;
  }

  std::unique_ptr<Cluster> m_cluster;
};

TEST_F(LimitsTest, RateAndBurstHoldOverAllEntries) {
  Start(RateSettings());
  LoadGenerator flood(*m_cluster, FloodLoadSettings());
  flood.Start();
  boost::this_fiber::sleep_for(seconds(4));
  flood.Stop();
  const auto records = m_cluster->ReadRecords();
  EXPECT_EQ(FindOverRate(records, "club-1", kRate, kBurst), "");
  // Requests within the rate have to be served.
  EXPECT_GE(flood.CountStatus(200), static_cast<size_t>(kRate * 3));
  EXPECT_EQ(FindFalseResponse(records, flood.GetResponses()), "");
}

TEST_F(LimitsTest, RateHoldsWhenTheTokenIssuerIsKilled) {
  Start(RateSettings());
  LoadGenerator flood(*m_cluster, FloodLoadSettings());
  flood.Start();
  boost::this_fiber::sleep_for(seconds(2));
  const auto holder = static_cast<uint32_t>(m_cluster->HolderOf(kAccessCell));
  m_cluster->Control(holder).Kill();
  boost::this_fiber::sleep_for(seconds(4));
  flood.Stop();
  EXPECT_EQ(FindOverRate(m_cluster->ReadRecords(), "club-1", kRate, kBurst),
            "");
}

TEST_F(LimitsTest, RateHoldsWhenTheTokenIssuerIsPaused) {
  Start(RateSettings());
  LoadGenerator flood(*m_cluster, FloodLoadSettings());
  flood.Start();
  boost::this_fiber::sleep_for(seconds(2));
  const auto holder = static_cast<uint32_t>(m_cluster->HolderOf(kAccessCell));
  m_cluster->Control(holder).Signal(SIGSTOP);
  boost::this_fiber::sleep_for(seconds(2));
  m_cluster->Control(holder).Signal(SIGCONT);
  boost::this_fiber::sleep_for(seconds(2));
  flood.Stop();
  EXPECT_EQ(FindOverRate(m_cluster->ReadRecords(), "club-1", kRate, kBurst),
            "");
}

TEST_F(LimitsTest, WorkspaceOverItsRateDoesNotStarveOthers) {
  ClusterSettings settings = RateSettings();
  Start(settings);
  LoadGenerator flood(*m_cluster, FloodLoadSettings());
  flood.Start();
  LoadSettings calm_settings = FloodLoadSettings();
  calm_settings.m_workspaces = {"club-2"};
  calm_settings.m_fibers = 1;
  calm_settings.m_request_delay = milliseconds(25);
  LoadGenerator calm(*m_cluster, calm_settings);
  calm.Start();
  boost::this_fiber::sleep_for(seconds(3));
  calm.Stop();
  flood.Stop();
  const size_t refused = calm.GetResponses().size() - calm.CountStatus(200);
  // At most 1% of the requests within the rate may be refused.
  EXPECT_LE(refused * 100, calm.GetResponses().size());
}

TEST_F(LimitsTest, NoServerRunsMoreThanItsSlots) {
  ClusterSettings settings;
  settings.m_services[0].m_servers = 2;
  settings.m_services[0].m_service_time = milliseconds(5);
  Start(settings);
  LoadSettings load_settings;
  load_settings.m_fibers = 40;
  load_settings.m_request_delay = milliseconds(0);
  LoadGenerator load(*m_cluster, load_settings);
  load.Start();
  boost::this_fiber::sleep_for(seconds(2));
  load.Stop();
  for (const char* name : {"catalogue-1", "catalogue-2"}) {
    const Json::Value state = m_cluster->CallBackend(name);
    EXPECT_LE(state["most_running"].asUInt(), 2U);
    EXPECT_EQ(state["most_waiting"].asUInt(), 0U);
    EXPECT_EQ(state["shed"].asUInt(), 0U);
  }
}

TEST_F(LimitsTest, ColdServerIsNotOverloaded) {
  ClusterSettings settings;
  settings.m_services[0].m_servers = 2;
  settings.m_services[0].m_slots = 6;
  settings.m_services[0].m_cold_requests = 15;
  Start(settings);
  LoadSettings load_settings;
  load_settings.m_fibers = 30;
  load_settings.m_request_delay = milliseconds(0);
  LoadGenerator load(*m_cluster, load_settings);
  load.Start();
  boost::this_fiber::sleep_for(seconds(1));
  // A restart by the host makes the server cold again, without notice to the
  // entries.
  m_cluster->BackendProcess("catalogue-1").Kill();
  m_cluster->StartBackend("catalogue-1");
  boost::this_fiber::sleep_for(seconds(3));
  load.Stop();
  for (const char* name : {"catalogue-1", "catalogue-2"}) {
    EXPECT_EQ(m_cluster->CallBackend(name)["cold_overloads"].asUInt(), 0U)
        << name;
  }
  EXPECT_EQ(FindFalseResponse(m_cluster->ReadRecords(), load.GetResponses()),
            "");
}

}  // namespace
}  // namespace foxtail
