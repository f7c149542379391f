#include <gtest/gtest.h>

#include <boost/fiber/operations.hpp>
#include <functional>
#include <random>

#include "core/error.h"
#include "gateway/cluster_codec.h"
#include "platform/base64.h"
#include "platform/operator_rows_decoder.h"
#include "platform/platform_front_end.h"
#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::string_literals::operator""s;

constexpr const char* kConfig = R"({"version":"0000000c","routes":[
  {"name":"r","host":"a.example","prefix":"/x/","route_type":"unsafe",
   "timeout_s":1.2,"target_latency_s":0.5,"priority":1,"max_attempts":2,
   "backends":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
  "services":[{"name":"s","sharded":true,"max_conns":120,"warmup_per_s":4.9},
   {"name":"t","max_conns":120}],
  "limits":{"header_bytes":16384,"idle_timeout_s":15},
  "tenants":[{"name":"w","api_keys":["k"],"rate_per_s":73,"burst":70}]})";

constexpr const char* kServer =
    R"({"address":"10.0.0.9:80","born":17,"info":{"service":"s","version":"v1",
    "zone":"z","slots":2},
    "status":{"state":"draining","sequence":4,"warmup_left_s":1.5}})";

ErrorCode ErrorCodeOf(const std::function<void()>& body) {
  try {
    body();
  } catch (const Error& error) {
    return error.GetCode();
  }
  return ErrorCode::kInternal;
}

TEST(OperatorRowsDecoderTest, DecodesConfiguration) {
  const RoutingConfig config =
      OperatorRowsDecoder().DecodeConfiguration(kConfig);
  EXPECT_EQ(config.m_version, 12U);
  ASSERT_EQ(config.m_routes.size(), 1U);
  EXPECT_FALSE(config.m_routes[0].m_idempotent);
  EXPECT_EQ(config.m_routes[0].m_timeout, milliseconds(1200));
  EXPECT_EQ(config.m_routes[0].m_services.size(), 2U);
  EXPECT_TRUE(config.m_services[0].m_sharded);
  EXPECT_EQ(config.m_workspaces[0].m_rate, 73);
  EXPECT_EQ(config.m_limits.m_idle_timeout, std::chrono::seconds(15));
}

TEST(OperatorRowsDecoderTest, RejectsInvalidConfigurations) {
  const std::string good = kConfig;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"0000000c\"", "12"},
           {"\"0000000c\"", "\"xyz\""},
           {"\"unsafe\"", "5"},
           {"\"unsafe\"", "\"\""},
           {"1.2", "-1"},
           {"1.2", "\"1.2\""},
           {"\"/x/\"", "\"/x\""},
           {"\"service\":\"t\"", "\"service\":\"u\""},
           {"[\"k\"]", "[5]"},
           {"{\"version\"", "\"version\""}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    EXPECT_EQ(
        ErrorCodeOf([&] { OperatorRowsDecoder().DecodeConfiguration(bad); }),
        ErrorCode::kIntentInvalid)
        << to;
  }
}

std::string ConfigWithRouteType(const std::string& type) {
  const std::string from = "\"unsafe\"";
  std::string config = kConfig;
  return config.replace(config.find(from), from.size(), "\"" + type + "\"");
}

// The platform may add a kind of route: only its own requests are refused.
TEST(OperatorRowsDecoderTest, RouteOfUnknownKindIsUnusableAndTheRestServes) {
  const RoutingConfig config = OperatorRowsDecoder().DecodeConfiguration(
      ConfigWithRouteType("teleport"));
  ASSERT_EQ(config.m_routes.size(), 1U);
  EXPECT_NE(config.m_routes[0].m_unusable_reason.find("teleport"),
            std::string::npos);
  EXPECT_FALSE(config.m_routes[0].m_idempotent);
  EXPECT_EQ(config.m_services.size(), 2U);
  EXPECT_EQ(config.m_workspaces.size(), 1U);
}

TEST(OperatorRowsDecoderTest, DownloadsAreIdempotent) {
  const RoutingConfig config = OperatorRowsDecoder().DecodeConfiguration(
      ConfigWithRouteType("download"));
  EXPECT_TRUE(config.m_routes[0].m_idempotent);
  EXPECT_TRUE(config.m_routes[0].m_unusable_reason.empty());
}

TEST(OperatorRowsDecoderTest, DecodesServersAndRejectsInvalidOnes) {
  const BackendServerEntry server =
      OperatorRowsDecoder().DecodeServer("i-1", kServer);
  EXPECT_TRUE(server.m_draining);
  EXPECT_EQ(server.m_incarnation, 17);
  EXPECT_EQ(server.m_cold_left, milliseconds(1500));
  const std::string good = kServer;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"10.0.0.9:80", "nowhere"},
           {"\"draining\"", "\"sleeping\""},
           {"17", "\"17\""},
           {"\"service\":\"s\"", "\"service\":3"},
           {"\"slots\":2", "\"slots\":\"2\""}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    EXPECT_EQ(
        ErrorCodeOf([&] { OperatorRowsDecoder().DecodeServer("i-1", bad); }),
        ErrorCode::kMessageMalformed)
        << to;
  }
}

// An entry of another writer, complete but for its slots, ended the live server
// whose address it had: the keys moved while that server held them.
TEST(OperatorRowsDecoderTest, IncompleteServersAreRejected) {
  const std::string good = kServer;
  OperatorRowsDecoder().DecodeServer("i-1", good);
  for (const std::string field : {"\"version\":\"v1\"", "\"slots\":2",
                                  "\"sequence\":4", "\"warmup_left_s\":1.5"}) {
    const std::string name = field.substr(0, field.find(':'));
    for (const std::string& other :
         {"\"other\":1"s, name + ":null", name + ":[]", name + ":true"}) {
      std::string bad = good;
      bad.replace(bad.find(field), field.size(), other);
      EXPECT_EQ(
          ErrorCodeOf([&] { OperatorRowsDecoder().DecodeServer("i-1", bad); }),
          ErrorCode::kMessageMalformed)
          << bad;
    }
  }
}

// A row of 1,000 opening brackets overflowed the stack of a fiber: all gateways
// crashed, and again at each start while the row was there.
TEST(OperatorRowsDecoderTest, DeeplyNestedRowsAreRejectedOnAFiber) {
  constexpr size_t kMaxRowSize = 65'536;  // bytes, `row_bytes` of the platform
  std::string objects;
  while (objects.size() + 5 <= kMaxRowSize) {
    objects += "{\"a\":";
  }
  bool done = false;
  StartFiber([&] {
    for (const std::string& row :
         {std::string(1000, '['), std::string(kMaxRowSize, '['), objects}) {
      const OperatorRowsDecoder decoder;
      EXPECT_EQ(ErrorCodeOf([&] { decoder.DecodeServer("other", row); }),
                ErrorCode::kMessageMalformed);
      EXPECT_EQ(ErrorCodeOf([&] { decoder.DecodeConfiguration(row); }),
                ErrorCode::kIntentInvalid);
    }
    done = true;
  });
  while (!done) {
    boost::this_fiber::yield();
  }
}

// An order that was misread would move traffic to a wrong version.
TEST(OperatorRowsDecoderTest, DecodesOrdersOfRolloutsAndRejectsInvalidOnes) {
  const OperatorRowsDecoder decoder;
  std::string subject;
  EXPECT_EQ(decoder.ClassifyRow("rollout/s", subject),
            OperatorRowKind::kRollout);
  EXPECT_EQ(subject, "s");
  const RolloutOrder order = decoder.DecodeRollout(
      "s", R"({"service":"s","target":"2.1","period_s":90.5})");
  EXPECT_EQ(order.m_target, "2.1");
  EXPECT_EQ(order.m_period, milliseconds(90'500));
  for (const char* bad :
       {R"({"service":"t","target":"2.1","period_s":90})",
        R"({"service":"s","target":"","period_s":90})",
        R"({"service":"s","target":"2.1","period_s":0})",
        R"({"service":"s","target":"2.1"})", R"([])", R"({"service")"}) {
    EXPECT_EQ(ErrorCodeOf([&] { decoder.DecodeRollout("s", bad); }),
              ErrorCode::kIntentInvalid)
        << bad;
  }
}

TEST(OperatorRowsDecoderTest, EncodesTheStateOfARollout) {
  RolloutRecord record;
  record.m_service = "s";
  record.m_target = "2.1";
  record.m_state = RolloutState::kRolledBack;
  const RowWrite write = OperatorRowsDecoder().EncodeRolloutStatus(record);
  EXPECT_EQ(write.m_table, "status");
  EXPECT_EQ(write.m_key, "rollout/s");
  EXPECT_EQ(write.m_value,
            R"({"service":"s","state":"rolled_back","target":"2.1"})");
}

// Sums that lose a class of latency would hide a slow version.
TEST(ClusterCodecTest, RolloutsRoundTrip) {
  RolloutRecord record;
  record.m_service = "s";
  record.m_target = "2.1";
  record.m_order = 7;
  record.m_state = RolloutState::kCompleted;
  record.m_share = 0.5;
  record.m_rejected = {"2.0"};
  EXPECT_EQ(DecodeRolloutRecord(EncodeRecord(record)), record);
  record.m_share = 1.5;
  EXPECT_EQ(ErrorCodeOf([&] { DecodeRolloutRecord(EncodeRecord(record)); }),
            ErrorCode::kMessageMalformed);
  RolloutReport report;
  report.m_counts.resize(1);
  report.m_counts[0].m_target_requests = 5;
  report.m_counts[0].m_routes.resize(1);
  report.m_counts[0].m_routes[0].m_route = "r";
  report.m_counts[0].m_routes[0].m_target.m_latencies[kLatencyClasses - 1] = 3;
  const ClusterMessage message = DecodeClusterMessage(EncodeMessage(report));
  EXPECT_EQ(std::get<RolloutReport>(message).m_counts, report.m_counts);
}

TEST(ClusterCodecTest, OwnersRecordsRoundTrip) {
  OwnersRecord owners;
  owners.m_epoch = 3;
  owners.m_number = 9;
  owners.m_ranges.push_back({{0, 99}, "i-1", 17, true, {}});
  owners.m_ranges.push_back(
      {{100, 199}, "i-2", 18, false, {{"i-1", false}, {"i-3", true}}});
  owners.m_ranges.push_back({{200, 65535}, "i-1", 19, true, {}});
  EXPECT_EQ(DecodeOwnersRecord(EncodeRecord(owners)), owners);
}

// The encoding contains each server's name once, however many ranges the server
// owns.
TEST(ClusterCodecTest, OwnersRecordsAreSmall) {
  OwnersRecord owners;
  for (uint32_t i = 0; i < 64; ++i) {
    owners.m_ranges.push_back({{i * 1024, i * 1024 + 1023},
                               "i-000000000" + std::to_string(i % 8),
                               1,
                               true,
                               {}});
  }
  EXPECT_LT(EncodeRecord(owners).size(), 64 * 8 + 8 * 28 + 64);
}

// Truncated or changed bytes are decoded or rejected with a typed error; a
// decoder neither crashes nor throws anything else.
TEST(DecoderFuzzTest, CorruptedBytesAreDecodedOrRejected) {
  std::minstd_rand random(7);
  ReportResponse digest;
  digest.m_address = "10.0.0.1:7000";
  digest.m_tokens.m_grants.push_back({"w", 3, 1});
  MemberReport report;
  report.m_loads.push_back({"s", {{4, 5}}});
  OwnersRecord owners;
  owners.m_ranges.push_back({{0, 65535}, "i-1", 17, true, {{"i-2", true}}});
  RelayedRows relayed;
  relayed.m_rows = {{"a", "value", 8, false}};
  relayed.m_owners_changes = {
      BuildOwnersChange("s", 9, OwnersRecord(), owners)};
  relayed.m_followers = {"10.0.0.2:7000"};
  const std::vector<std::string> messages = {
      EncodeMessage(digest),
      EncodeMessage(report),
      EncodeRecord(owners),
      EncodeMessage(relayed),
      EncodeMessage(LeavingServersNotice{{{"i-1", 17}}}),
      EncodeMessage(LeaderAnnouncement{"10.0.0.1:7000", 3, 4})};
  for (int round = 0; round < 12000; ++round) {
    std::string bytes = messages[round % messages.size()];
    bytes[random() % bytes.size()] = static_cast<char>(random());
    if (round % 2 == 0) {
      bytes.resize(random() % bytes.size());
    }
    try {
      if (round % messages.size() == 2) {
        DecodeOwnersRecord(bytes);
      } else {
        DecodeClusterMessage(bytes);
      }
    } catch (const Error& error) {
      EXPECT_EQ(error.GetCode(), ErrorCode::kMessageMalformed);
    }
    std::string row = round % 2 == 0 ? kConfig : kServer;
    row[random() % row.size()] = static_cast<char>(random());
    try {
      OperatorRowsDecoder().DecodeConfiguration(row);
    } catch (const Error& error) {
      EXPECT_EQ(error.GetCode(), ErrorCode::kIntentInvalid);
    }
    try {
      OperatorRowsDecoder().DecodeServer("i-1", row);
    } catch (const Error& error) {
      EXPECT_EQ(error.GetCode(), ErrorCode::kMessageMalformed);
    }
  }
}

TEST(Base64Test, BytesRoundTrip) {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\0", 3)}) {
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes);
  }
  EXPECT_EQ(ErrorCodeOf([] { DecodeBase64("abc"); }),
            ErrorCode::kMessageMalformed);
  EXPECT_EQ(ErrorCodeOf([] { DecodeBase64("a*c="); }),
            ErrorCode::kMessageMalformed);
}

HttpRequest GoodRequest() {
  HttpRequest request;
  request.m_target = "/x/1?q=2";
  request.m_headers.Set("Host", "a.example");
  request.m_headers.Set("X-Foxtailcart-Request-Id", "r1");
  request.m_headers.Set("X-Foxtailcart-Request-Deadline", "250");
  request.m_headers.Set("X-Foxtailcart-Credential", "secret");
  request.m_headers.Set("X-Foxtailcart-Shard-Key", "17");
  request.m_headers.Set("X-Foxtailcart-Tenant", "forged");
  return request;
}

TEST(PlatformFrontEndTest, StripsApiKeyAndIgnoresClientsWorkspace) {
  const PlatformFrontEnd front_end;
  const HttpRequest request = GoodRequest();
  const ClientRequest decoded = front_end.Decode(request);
  EXPECT_EQ(decoded.m_path, "/x/1");
  EXPECT_EQ(decoded.m_shard_key, 17U);
  EXPECT_EQ(decoded.m_deadline, milliseconds(250));
  const HttpRequest sent =
      front_end.BuildServerRequest(request, {"i-1", "w", milliseconds(200)});
  EXPECT_EQ(sent.m_target, request.m_target);
  EXPECT_FALSE(sent.m_headers.Get("X-Foxtailcart-Credential"));
  EXPECT_EQ(sent.m_headers.GetOr("X-Foxtailcart-Tenant", ""), "w");
  EXPECT_EQ(sent.m_headers.GetOr("X-Foxtailcart-Target-Instance", ""), "i-1");
  EXPECT_EQ(sent.m_headers.GetOr("X-Foxtailcart-Request-Deadline", ""), "200");
  HttpRequest twice = request;
  twice.m_headers.Add("X-Foxtailcart-Credential", "other");
  EXPECT_EQ(ErrorCodeOf([&] { front_end.Decode(twice); }),
            ErrorCode::kRequestMalformed);
}

ServerResponse ClassifyWith(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers.Set("X-Foxtailcart-Request-Id", "r1");
  response.m_headers.Set("X-Foxtailcart-Not-Executed", "1");
  for (const auto& [name, value] : fields) {
    response.m_headers.Set(name, value);
  }
  ClientRequest request;
  request.m_request_id = "r1";
  return PlatformFrontEnd().Classify(request, response);
}

TEST(PlatformFrontEndTest, DecodesThePauseThatAServerAsksFor) {
  EXPECT_EQ(ClassifyWith(503, {{"Retry-After", "1.5"}}).m_pause,
            milliseconds(1500));
  EXPECT_EQ(ClassifyWith(429, {{"Retry-After", "1.5"}}).m_pause, Duration(0));
  for (const char* wrong : {"", "-1", "soon", "1.5x", "nan"}) {
    EXPECT_EQ(ClassifyWith(503, {{"Retry-After", wrong}}).m_pause, Duration(0))
        << wrong;
  }
  EXPECT_EQ(ClassifyWith(503, {{"Retry-After", "1e300"}}).m_pause,
            std::chrono::seconds(30));
}

TEST(PlatformFrontEndTest, DecodesTheMarkOfALeavingServer) {
  EXPECT_TRUE(ClassifyWith(503, {{"Server-Leaving", "1"}}).m_leaving);
  EXPECT_FALSE(ClassifyWith(503, {}).m_leaving);
  EXPECT_FALSE(ClassifyWith(503, {{"Server-Leaving", "1"},
                                  {"X-Foxtailcart-Request-Id", "other"}})
                   .m_leaving);
}

TEST(PlatformFrontEndTest, AcceptsOnlyCompleteResponsesOfTheServer) {
  const PlatformFrontEnd front_end;
  const ClientRequest request = front_end.Decode(GoodRequest());
  const auto kind_of = [&](int status, const std::vector<HttpHeader>& headers) {
    HttpResponse response;
    response.m_status = status;
    for (const HttpHeader& header : headers) {
      response.m_headers.Add(header.m_name, header.m_value);
    }
    return front_end.Classify(request, response).m_kind;
  };
  const HttpHeader id{"X-Foxtailcart-Request-Id", "r1"};
  const HttpHeader other{"X-Foxtailcart-Request-Id", "r2"};
  const HttpHeader signature{"X-Foxtailcart-Response-Stamp", "s"};
  const HttpHeader not_run{"X-Foxtailcart-Not-Executed", "1"};
  const HttpHeader content_encoding{"Content-Encoding", "gzip"};
  EXPECT_EQ(kind_of(200, {id, signature}), ResponseKind::kComplete);
  EXPECT_EQ(kind_of(200, {other, signature}), ResponseKind::kInvalid);
  EXPECT_EQ(kind_of(200, {id}), ResponseKind::kInvalid);
  EXPECT_EQ(kind_of(200, {signature}), ResponseKind::kInvalid);
  EXPECT_EQ(kind_of(200, {id, signature, content_encoding}),
            ResponseKind::kInvalid);
  EXPECT_EQ(kind_of(500, {id, signature}), ResponseKind::kComplete);
  EXPECT_EQ(kind_of(503, {id, not_run}), ResponseKind::kNotRun);
  EXPECT_EQ(kind_of(503, {id}), ResponseKind::kInvalid);
  EXPECT_EQ(kind_of(421, {}), ResponseKind::kMisdirected);
}

}  // namespace
}  // namespace foxtail
