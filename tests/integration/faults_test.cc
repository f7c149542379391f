#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "core/json.h"
#include "runtime/fiber_scheduler.h"
#include "support/load_generator.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough that a stall of the machine causes no refusals.
constexpr milliseconds kLongDeadline{5000};

class FaultsTest : public testing::Test {
 protected:
  void Start(const ClusterSettings& settings = ClusterSettings()) {
    m_cluster = std::make_unique<Cluster>(settings);
    m_cluster->Start();
  }

  void ExpectConsistentResponses(const std::vector<TestResponse>& responses) {
    const auto records = m_cluster->ReadRecords();
    EXPECT_EQ(FindConcurrentOwners(records), "");
    EXPECT_EQ(FindFalseResponse(records, responses), "");
    EXPECT_EQ(FindMismatchedResponse(responses), "");
  }

  // Restarts backends that crash, as the platform does.
  void StartSupervising(const std::vector<std::string>& names) {
    m_supervising = true;
    StartFiber([this, names] {
      while (m_supervising) {
        for (const std::string& name : names) {
          if (!m_cluster->BackendProcess(name).IsRunning()) {
            ++m_restarts;
            m_cluster->StartBackend(name);
          }
        }
        boost::this_fiber::sleep_for(milliseconds(50));
      }
      m_supervision_ended = true;
    });
  }

  void StopSupervising() {
    m_supervising = false;
    Cluster::Eventually([&] { return m_supervision_ended; });
  }

  std::unique_ptr<Cluster> m_cluster;
  HttpClient m_client;
  bool m_supervising = false;
  bool m_supervision_ended = false;
  size_t m_restarts = 0;
};

TEST_F(FaultsTest, KeysAreServedDuringAPlatformOutage) {
  ClusterSettings settings;
  settings.m_workspaces = {{"club-1"}, {"club-2"}};
  settings.m_services[0].m_max_deadline = kLongDeadline;
  Start(settings);
  m_cluster->ConfirmChange(
      {{"kind", "key_withdraw"}, {"workspace", "club-2"}, {"name", "first"}});
  TestRequest withdrawn;
  withdrawn.m_workspace = "club-2";
  ASSERT_TRUE(Cluster::Eventually([&] {
    return SendRequest(*m_cluster, m_client, withdrawn).m_status == 401;
  }));
  LoadGenerator load(*m_cluster, LoadSettings());
  load.Start();
  boost::this_fiber::sleep_for(milliseconds(500));
  m_cluster->SetPlatformFault("down", 1);
  // Longer than the TTL of every lease, grant and copy of the API keys.
  boost::this_fiber::sleep_for(seconds(6));
  EXPECT_EQ(SendRequest(*m_cluster, m_client, withdrawn).m_status, 401);
  m_cluster->SetPlatformFault("down", 0);
  boost::this_fiber::sleep_for(seconds(1));
  load.Stop();
  EXPECT_EQ(load.DescribeFailures(), "");
  ExpectConsistentResponses(load.GetResponses());
}

TEST_F(FaultsTest, KeysAreServedWhileThePlatformIsSlow) {
  ClusterSettings settings;
  settings.m_services[0].m_max_deadline = kLongDeadline;
  Start(settings);
  LoadGenerator load(*m_cluster, LoadSettings());
  load.Start();
  m_cluster->SetPlatformFault("delay_ms", 600);
  boost::this_fiber::sleep_for(seconds(5));
  m_cluster->SetPlatformFault("delay_ms", 0);
  boost::this_fiber::sleep_for(seconds(1));
  load.Stop();
  EXPECT_EQ(load.DescribeFailures(), "");
  ExpectConsistentResponses(load.GetResponses());
}

TEST_F(FaultsTest, LostStoreResponsesChangeNothing) {
  Start();
  LoadGenerator load(*m_cluster, LoadSettings());
  load.Start();
  for (int i = 0; i < 4; ++i) {
    m_cluster->SetPlatformFault("lose_answers", 2);
    const uint64_t version = m_cluster->ConfirmChange(
        {{"kind", "server"},
         {"service", "catalogue"},
         {"name", "catalogue-2"},
         {"state", i % 2 == 0 ? "leaving" : "serving"}});
    EXPECT_EQ(version, static_cast<uint64_t>(i) + 2);
    m_cluster->SetPlatformFault("lose_answers", 1);
    boost::this_fiber::sleep_for(milliseconds(700));
  }
  EXPECT_TRUE(
      Cluster::Eventually([&] { return m_cluster->IsStable("catalogue"); }));
  load.Stop();
  ExpectConsistentResponses(load.GetResponses());
}

TEST_F(FaultsTest, RetriedRequestRunsAtMostOnceAfterDispatcherLoss) {
  ClusterSettings settings;
  settings.m_services[0].m_service_time = milliseconds(60);
  Start(settings);
  std::vector<TestResponse> responses;
  for (int round = 0; round < 2; ++round) {
    TestRequest request;
    request.m_idempotent = false;
    request.m_id = NewRequestId("order-" + std::to_string(round));
    Json::Value explain_parameters;
    explain_parameters["service"] = "catalogue";
    explain_parameters["key"] = request.m_key;
    const std::string owner =
        m_cluster->Rpc("explain", explain_parameters)["owner"].asString();
    const int host = m_cluster->DispatcherHostOf("catalogue", owner);
    ASSERT_GE(host, 0);
    request.m_host = (static_cast<uint32_t>(host) + 1) % 3;
    bool first_done = false;
    StartFiber([&] {
      responses.push_back(SendRequest(*m_cluster, m_client, request));
      first_done = true;
    });
    boost::this_fiber::sleep_for(milliseconds(30));
    m_cluster->Entry(static_cast<uint32_t>(host)).Kill();
    ASSERT_TRUE(Cluster::Eventually([&] { return first_done; }));
    // The client does not know whether the request ran and retries.
    for (int i = 0; i < 10; ++i) {
      responses.push_back(SendRequest(*m_cluster, m_client, request));
      boost::this_fiber::sleep_for(milliseconds(200));
    }
    m_cluster->StartEntry(static_cast<uint32_t>(host));
    ASSERT_TRUE(
        Cluster::Eventually([&] { return m_cluster->IsStable("catalogue"); }));
  }
  std::map<std::string, int> effects;
  for (const RunRecord& record : m_cluster->ReadRecords()) {
    effects[record.m_request] += record.m_event == "effect";
  }
  for (const TestResponse& response : responses) {
    EXPECT_LE(effects[response.m_request.m_id], 1);
  }
}

TEST_F(FaultsTest, RetriedRequestRunsOnceAcrossAPlannedMove) {
  Start();
  std::vector<TestResponse> responses;
  std::vector<TestRequest> requests;
  for (int i = 0; i < 40; ++i) {
    TestRequest request;
    request.m_idempotent = false;
    request.m_key = "key-" + std::to_string(i);
    request.m_id = NewRequestId("moved-" + std::to_string(i));
    requests.push_back(request);
    responses.push_back(SendRequest(*m_cluster, m_client, request));
    EXPECT_EQ(responses.back().m_status, 200) << responses.back().m_body;
  }
  m_cluster->ConfirmChange(
      {{"kind", "data_centre"}, {"name", "dc-1"}, {"state", "leaving"}});
  ASSERT_TRUE(Cluster::Eventually([&] {
    const Json::Value status = m_cluster->StatusOf("catalogue");
    return m_cluster->IsStable("catalogue") &&
           std::ranges::none_of(status["partitions"], [](const auto& row) {
             return row["owner"].asString() == "catalogue-1" ||
                    row["owner"].asString() == "catalogue-3";
           });
  }));
  for (const TestRequest& request : requests) {
    const TestResponse response = SendRequest(*m_cluster, m_client, request);
    // The deduplication state moved with the partition, so the retry is
    // refused as a duplicate rather than reported as possibly executed.
    EXPECT_EQ(response.m_error, "request_duplicate") << response.m_body;
    responses.push_back(response);
  }
  std::map<std::string, int> effects;
  for (const RunRecord& record : m_cluster->ReadRecords()) {
    effects[record.m_request] += record.m_event == "effect";
  }
  for (const TestRequest& request : requests) {
    EXPECT_EQ(effects[request.m_id], 1);
  }
}

TEST_F(FaultsTest, CrashingRequestIsQuarantinedAndOthersAreNot) {
  ClusterSettings settings;
  settings.m_services[0].m_servers = 2;
  settings.m_services[0].m_partitions = 4;
  Start(settings);
  StartSupervising({"catalogue-1", "catalogue-2"});
  LoadSettings load_settings;
  load_settings.m_keys = 4;
  load_settings.m_non_idempotent_percent = 0;
  LoadGenerator load(*m_cluster, load_settings);
  load.Start();
  TestRequest crashing_request;
  crashing_request.m_key = "key-1";
  crashing_request.m_body = "crash-the-server";
  bool quarantined = false;
  for (int i = 0; i < 20 && !quarantined; ++i) {
    const TestResponse response =
        SendRequest(*m_cluster, m_client, crashing_request);
    quarantined = response.m_error == "request_quarantined";
    boost::this_fiber::sleep_for(milliseconds(300));
  }
  EXPECT_TRUE(quarantined);
  const size_t restarts = m_restarts;
  for (uint32_t i = 0; i < 9; ++i) {
    crashing_request.m_host = i % 3;
    const TestResponse response =
        SendRequest(*m_cluster, m_client, crashing_request);
    EXPECT_EQ(response.m_error, "request_quarantined");
    EXPECT_EQ(response.m_execution, "not_run");
  }
  boost::this_fiber::sleep_for(milliseconds(500));
  EXPECT_EQ(m_restarts, restarts);
  load.Stop();
  StopSupervising();
  for (const TestResponse& response : load.GetResponses()) {
    EXPECT_NE(response.m_error, "request_quarantined");
  }
  ExpectConsistentResponses(load.GetResponses());
}

TEST_F(FaultsTest, LateAndReorderedResponsesMatchTheirRequests) {
  ClusterSettings settings;
  settings.m_services[0].m_slots = 8;
  Start(settings);
  LoadSettings load_settings;
  load_settings.m_fibers = 24;
  load_settings.m_request_delay = milliseconds(0);
  LoadGenerator load(*m_cluster, load_settings);
  load.Start();
  // Servers become slower than some deadlines and fast again, at different
  // times.
  for (int i = 0; i < 6; ++i) {
    const std::string name = "catalogue-" + std::to_string(i % 4 + 1);
    m_cluster->CallBackend(name, "{\"slow_factor\": 500, \"slow_ms\": 200}");
    boost::this_fiber::sleep_for(milliseconds(300));
  }
  load.Stop();
  EXPECT_GT(load.CountStatus(200), 0U);
  ExpectConsistentResponses(load.GetResponses());
}

}  // namespace
}  // namespace foxtail
