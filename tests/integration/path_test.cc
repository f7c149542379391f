#include <gtest/gtest.h>

#include "core/json.h"
#include "support/load_generator.h"

namespace foxtail {
namespace {

class PathTest : public testing::Test {
 protected:
  static Cluster& GetCluster() {
    static Cluster* cluster = [] {
      ClusterSettings settings;
      settings.m_workspaces = {{"club-1"}, {"club-2", 5, 5, 1}};
      settings.m_entry_flags = {"--body-limit", "4", "--read-timeout", "300"};
      auto* created = new Cluster(settings);
      created->Start();
      return created;
    }();
    return *cluster;
  }

  static void TearDownTestSuite() { GetCluster().~Cluster(); }

  TestResponse Send(const TestRequest& request) {
    return SendRequest(GetCluster(), m_client, request);
  }

  // Sends a raw request to the first entry.
  HttpResponse SendRaw(const HttpRequest& request) {
    return m_client.Call(GetCluster().EntryAddress(0), request,
                         std::chrono::seconds(5));
  }

  static HttpRequest ValidRequest() {
    HttpRequest request;
    request.m_target = "/catalogue/read";
    request.m_headers.Set("authorization", "Bearer key-club-1");
    request.m_headers.Set("x-partition-key", "key-1");
    return request;
  }

  static void ExpectRefusal(const HttpResponse& response,
                            ErrorCode code,
                            const std::string& execution = "not_run") {
    const Json::Value body = ParseJson(response.m_body);
    EXPECT_EQ(body["error"].asString(), InfoOf(code).m_name);
    EXPECT_EQ(body["execution"].asString(), execution);
    EXPECT_EQ(response.m_headers.GetOr("x-execution", ""), execution);
    EXPECT_EQ(response.m_status, InfoOf(code).m_http_status);
  }

  HttpClient m_client;
};

TEST_F(PathTest, EveryEntryReachesTheSameOwner) {
  std::string server;
  for (uint32_t host = 0; host < 3; ++host) {
    TestRequest request;
    request.m_host = host;
    const TestResponse response = Send(request);
    ASSERT_EQ(response.m_status, 200) << response.m_body;
    EXPECT_EQ(response.m_execution, "ran");
    const Json::Value body = ParseJson(response.m_body);
    EXPECT_EQ(body["workspace"].asString(), "club-1");
    if (server.empty()) {
      server = body["server"].asString();
    }
    EXPECT_EQ(body["server"].asString(), server);
  }
}

TEST_F(PathTest, BackendReceivesIdentityButNoApiKey) {
  TestRequest request;
  request.m_idempotent = false;
  request.m_id = NewRequestId("identity");
  ASSERT_EQ(Send(request).m_status, 200);
  std::string seen;
  for (const RunRecord& record : GetCluster().ReadRecords()) {
    if (record.m_request == request.m_id) {
      seen += record.m_line;
    }
  }
  EXPECT_NE(seen.find("x-foxtail-workspace: club-1"), std::string::npos);
  EXPECT_NE(seen.find("x-foxtail-epoch: "), std::string::npos);
  EXPECT_NE(seen.find("x-foxtail-deadline-unix-ms: "), std::string::npos);
  EXPECT_EQ(seen.find("key-club-1"), std::string::npos);
  EXPECT_EQ(seen.find("authorization"), std::string::npos);
}

TEST_F(PathTest, SecretsAreNotLeaked) {
  HttpRequest copied = ValidRequest();
  copied.m_headers.Set("x-copy", "my key is key-club-1");
  copied.m_headers.Set("cookie", "session=key-club-1");
  EXPECT_EQ(SendRaw(copied).m_status, 200);
  HttpRequest in_target = ValidRequest();
  in_target.m_target = "/catalogue/read?token=key-club-1";
  ExpectRefusal(SendRaw(in_target), ErrorCode::kRequestMalformed);
  HttpRequest wrong = ValidRequest();
  wrong.m_headers.Set("authorization", "Bearer wrong-secret-xyz");
  const HttpResponse refused = SendRaw(wrong);
  EXPECT_EQ(refused.m_body.find("wrong-secret-xyz"), std::string::npos);
  const std::string logs = GetCluster().ReadLogs();
  EXPECT_EQ(logs.find("key-club-1"), std::string::npos);
  EXPECT_EQ(logs.find("wrong-secret-xyz"), std::string::npos);
  EXPECT_EQ(logs.find("test-cluster-secret"), std::string::npos);
}

TEST_F(PathTest, RefusalsCarryAnErrorCode) {
  HttpRequest no_key = ValidRequest();
  no_key.m_headers.Remove("authorization");
  ExpectRefusal(SendRaw(no_key), ErrorCode::kApiKeyMissing);

  HttpRequest unknown = ValidRequest();
  unknown.m_headers.Set("authorization", "Bearer nobody");
  ExpectRefusal(SendRaw(unknown), ErrorCode::kApiKeyUnknown);

  HttpRequest no_service = ValidRequest();
  no_service.m_target = "/nowhere/read";
  ExpectRefusal(SendRaw(no_service), ErrorCode::kRouteUnknown);

  HttpRequest no_route = ValidRequest();
  no_route.m_method = "DELETE";
  ExpectRefusal(SendRaw(no_route), ErrorCode::kRouteUnknown);

  HttpRequest no_partition = ValidRequest();
  no_partition.m_headers.Remove("x-partition-key");
  ExpectRefusal(SendRaw(no_partition), ErrorCode::kPartitionKeyMissing);

  HttpRequest large = ValidRequest();
  large.m_method = "POST";
  large.m_target = "/catalogue/order";
  large.m_body = std::string(5000, 'x');
  ExpectRefusal(SendRaw(large), ErrorCode::kRequestTooLarge);

  HttpRequest headers = ValidRequest();
  headers.m_headers.Set("x-long", std::string(20'000, 'x'));
  ExpectRefusal(SendRaw(headers), ErrorCode::kHeaderTooLarge);

  for (const char* id : {"order-1", "1234567890123", "123456789012x-a",
                         "9999999999999-future", "1234567890123-a b"}) {
    HttpRequest bad_id = ValidRequest();
    bad_id.m_method = "POST";
    bad_id.m_target = "/catalogue/order";
    bad_id.m_headers.Set("x-request-id", id);
    ExpectRefusal(SendRaw(bad_id), ErrorCode::kRequestIdMalformed);
  }

  HttpRequest deadline = ValidRequest();
  deadline.m_headers.Set("x-deadline-ms", "soon");
  ExpectRefusal(SendRaw(deadline), ErrorCode::kRequestMalformed);
}

TEST_F(PathTest, OldRequestIdCannotBeVerified) {
  TestRequest request;
  request.m_idempotent = false;
  request.m_id = "1234567890123-long-ago";
  const TestResponse response = Send(request);
  EXPECT_EQ(response.m_error, "request_unverifiable");
  EXPECT_EQ(response.m_execution, "unknown");
}

TEST_F(PathTest, RequestsOverTheRateAreRefused) {
  size_t refused = 0;
  for (int i = 0; i < 20; ++i) {
    TestRequest request;
    request.m_workspace = "club-2";
    const TestResponse response = Send(request);
    if (response.m_status == 429) {
      EXPECT_EQ(response.m_error, "rate_exceeded");
      EXPECT_EQ(response.m_execution, "not_run");
      ++refused;
    }
  }
  EXPECT_GT(refused, 0U);
}

TEST_F(PathTest, InternalPortsRequireTheClusterSecret) {
  HttpRequest request = ValidRequest();
  request.m_headers.Set("x-foxtail-cell", "catalogue");
  const HttpResponse response = m_client.Call(GetCluster().InternalAddress(0),
                                              request, std::chrono::seconds(5));
  ExpectRefusal(response, ErrorCode::kClusterSecretWrong);
  HttpRequest rpc;
  rpc.m_method = "POST";
  rpc.m_target = "/rpc";
  rpc.m_body = "{}";
  ExpectRefusal(m_client.Call(GetCluster().ControlAddress(0), rpc,
                              std::chrono::seconds(5)),
                ErrorCode::kClusterSecretWrong);
}

TEST_F(PathTest, ReservedClientHeadersAreDropped) {
  HttpRequest request = ValidRequest();
  request.m_method = "POST";
  request.m_target = "/catalogue/order";
  const std::string id = NewRequestId("reserved");
  request.m_headers.Set("x-request-id", id);
  request.m_headers.Set("X-Foxtail-Workspace", "somebody-else");
  request.m_headers.Set("x-foxtail-epoch", "99");
  const HttpResponse response = SendRaw(request);
  ASSERT_EQ(response.m_status, 200) << response.m_body;
  EXPECT_EQ(ParseJson(response.m_body)["workspace"].asString(), "club-1");
}

TEST_F(PathTest, MetricsHaveSeriesPerWorkspaceAndServer) {
  ASSERT_EQ(SendRaw(ValidRequest()).m_status, 200);
  std::string text;
  for (uint32_t host = 0; host < 3; ++host) {
    HttpRequest request;
    request.m_target = "/metrics";
    text += m_client
                .Call(GetCluster().InternalAddress(host), request,
                      std::chrono::seconds(5))
                .m_body;
  }
  EXPECT_NE(text.find("foxtail_requests_total{workspace=\"club-1\"}"),
            std::string::npos);
  EXPECT_NE(text.find("foxtail_server_seconds{server=\"catalogue-"),
            std::string::npos);
}

}  // namespace
}  // namespace foxtail
