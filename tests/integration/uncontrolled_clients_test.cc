#include <gtest/gtest.h>

#include <boost/fiber/operations.hpp>
#include <filesystem>
#include <fstream>
#include <ostream>

#include "core/error.h"
#include "platform/platform_table_store.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_stream.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "support/cluster.h"
#include "support/process.h"

namespace foxtail {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMebibyte = 1024 * 1024;
constexpr size_t kMegabyte = 1000 * 1000;
constexpr milliseconds kPollInterval{20};
constexpr seconds kTimeout{20};

// A client that the gateway no longer reads from stops sending after this time.
constexpr seconds kSendTimeout{4};

// Every fourth client sends its request whole; the others stop short of it.
constexpr size_t kWholePeriod = 4;

/// Memory, in MB, and descriptors of the machine that the gateway is told to
/// run on, and the limits of the configuration, in bytes. Together with its
/// bound on resident memory, the crowd of each test is made for the first row.
struct MachineLimits {
  uint32_t m_memory = 64;
  uint32_t m_descriptors = 256;
  size_t m_body = 4 * kMebibyte;
  size_t m_header = 128 * 1024;
};

/// Clients that all do the same: each sends `m_head`, then `m_piece` as many
/// times as given, then `m_end`, which most of them keep back.
struct Crowd {
  std::string m_name;
  size_t m_clients = 0;
  std::string m_head;
  std::string m_piece;
  size_t m_pieces = 0;
  std::string m_end;
};

std::ostream& operator<<(std::ostream& out, const Crowd& crowd) {
  return out << crowd.m_name;
}

std::string BuildHead(const std::string& method,
                      const std::string& path,
                      const std::string& fields) {
  return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
         "X-Foxtailcart-Request-Id: r\r\nX-Foxtailcart-Credential: k\r\n" +
         fields + "\r\n";
}

std::string BuildHeadWithLength(size_t length) {
  return BuildHead("POST", "/x/1",
                   "Content-Length: " + std::to_string(length) + "\r\n");
}

std::string BuildChunkedHead() {
  return BuildHead("POST", "/x/1", "Transfer-Encoding: chunked\r\n");
}

std::string BuildChunk(size_t size) {
  std::ostringstream length;
  length << std::hex << size;
  return length.str() + "\r\n" + std::string(size, 'x') + "\r\n";
}

std::string Repeat(const std::string& text, size_t times) {
  std::string repeated;
  for (size_t i = 0; i < times; ++i) {
    repeated += text;
  }
  return repeated;
}

// Returns the value of a line of /proc/PID/status, in bytes.
size_t ReadStatus(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  size_t kibibytes = 0;
  while (status >> word) {
    if (word == name + ":") {
      status >> kibibytes;
    }
  }
  return kibibytes * 1024;
}

size_t CountDescriptors(pid_t pid) {
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(pid) + "/fd");
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

// Runs a gateway process with a store as a process, and a backend server inside
// the test process.
class UncontrolledClientsTest : public testing::TestWithParam<Crowd> {
 protected:
  UncontrolledClientsTest()
      : m_platform("standin-platform",
                   {"--listen", BuildAddress(m_store_port).ToString()},
                   "/dev/null"),
        m_backend(BuildAddress(m_backend_port),
                  BuildBackendSettings(),
                  [this](HttpRequest& request) { return Serve(request); }),
        m_slow_backend(BuildAddress(m_slow_port),
                       BuildBackendSettings(),
                       [this](HttpRequest& request) {
                         boost::this_fiber::sleep_for(seconds(2));
                         return Serve(request);
                       }),
        m_store(BuildAddress(m_store_port)) {
    m_backend.Start();
    m_slow_backend.Start();
  }

  ~UncontrolledClientsTest() override {
    m_crowd.clear();
    m_gateway.reset();
    m_backend.Stop(kTimeout);
    m_slow_backend.Stop(kTimeout);
  }

  static Address BuildAddress(uint16_t port) { return {"127.0.0.1", port}; }

  static HttpServerSettings BuildBackendSettings() {
    HttpServerSettings settings;
    settings.m_body_limit = 64 * kMebibyte;
    settings.m_header_limit = 256 * 1024;
    settings.m_read_timeout = seconds(30);
    return settings;
  }

  HttpResponse Serve(const HttpRequest& request) {
    m_received_body = request.m_body.size();
    HttpResponse response;
    if (request.m_target == "/x/large") {
      response.m_body.assign(8 * kMebibyte, 'x');
    }
    response.m_headers.Set(
        "X-Foxtailcart-Request-Id",
        request.m_headers.GetOr("X-Foxtailcart-Request-Id", ""));
    response.m_headers.Set("X-Foxtailcart-Response-Stamp", "stamp");
    return response;
  }

  // Starts the gateway. A version without settings for the machine's limits is
  // measured without them.
  void StartGateway(const MachineLimits& limits) {
    m_limits = limits;
    std::vector<std::string> machine = {
        "--memory-limit", std::to_string(limits.m_memory), "--descriptor-limit",
        std::to_string(limits.m_descriptors)};
    std::vector<std::string> check = machine;
    check.emplace_back("--check");
    if (Process("foxtail-gateway", check, "/dev/null").Wait() != 0) {
      machine.clear();
    }
    std::vector<std::string> arguments = {
        "--listen",   BuildAddress(m_client_port).ToString(),
        "--ready",    BuildAddress(m_ready_port).ToString(),
        "--internal", BuildAddress(NextPort()).ToString(),
        "--metrics",  BuildAddress(NextPort()).ToString(),
        "--store",    BuildAddress(m_store_port).ToString()};
    arguments.insert(arguments.end(), machine.begin(), machine.end());
    m_gateway =
        std::make_unique<Process>("foxtail-gateway", arguments, "/dev/null");
    WriteDirectory();
    ASSERT_TRUE(Eventually([this] {
      return Exchange(m_ready_port, HttpRequest()).m_status == 200;
    }));
  }

  void WriteDirectory() {
    Write("op", "config",
          R"({"version":"00000003","routes":[{"name":"r","host":"a.example",
          "prefix":"/x/","route_type":"safe","timeout_s":30,
          "target_latency_s":5,"priority":2,"service":"s","max_attempts":2},
          {"name":"slow","host":"a.example","prefix":"/slow/",
          "route_type":"safe","timeout_s":30,"target_latency_s":5,"priority":2,
          "service":"slow","max_attempts":2}],
          "services":[{"name":"s","max_conns":120},
          {"name":"slow","max_conns":120}],
          "tenants":[{"name":"w","api_keys":["k"]}],
          "limits":{"header_timeout_s":30,"body_bytes":)" +
              std::to_string(m_limits.m_body) + R"(,"header_bytes":)" +
              std::to_string(m_limits.m_header) + "}}");
    WriteServer("s", m_backend_port);
    WriteServer("slow", m_slow_port);
  }

  void WriteServer(const std::string& service, uint16_t port) {
    Write("servers", service + "-1",
          R"({"address":"127.0.0.1:)" + std::to_string(port) +
              R"(","born":1,"info":{"service":")" + service +
              R"(","version":"v1","zone":"local","slots":2},
              "status":{"state":"ready","sequence":1,"warmup_left_s":0}})");
  }

  void Write(const std::string& table,
             const std::string& key,
             const std::string& value) {
    ASSERT_TRUE(Eventually([&] {
      return m_store.Write({table, key, 0, value}, seconds(1)).m_outcome ==
             StoreOutcome::kDone;
    }));
  }

  template <typename Condition>
  static bool Eventually(Condition condition) {
    const TimePoint until = Clock::now() + kTimeout;
    bool holds = condition();
    while (!holds && Clock::now() < until) {
      boost::this_fiber::sleep_for(kPollInterval);
      holds = condition();
    }
    return holds;
  }

  // Returns the response, with the status 0 if there is none.
  HttpResponse Exchange(uint16_t port, const HttpRequest& request) {
    HttpClient client;
    ExchangeResult result =
        client.Exchange(BuildAddress(port), request, Clock::now() + kTimeout);
    if (!result.m_ok) {
      result.m_response.m_status = 0;
    }
    return std::move(result.m_response);
  }

  HttpResponse Send(const std::string& body) {
    HttpRequest request;
    request.m_method = body.empty() ? "GET" : "POST";
    request.m_target = "/x/1";
    request.m_headers.Set("Host", "a.example");
    request.m_headers.Set("X-Foxtailcart-Request-Id", "r1");
    request.m_headers.Set("X-Foxtailcart-Credential", "k");
    request.m_body = body;
    return Exchange(m_client_port, request);
  }

  void SendAll(FiberStream& stream,
               const std::string& bytes,
               error_code& failure) const {
    size_t sent = 0;
    while (sent < bytes.size() && !failure) {
      stream.SetDeadline(Clock::now() + kSendTimeout);
      sent += stream.write_some(
          boost::asio::buffer(bytes.data() + sent, bytes.size() - sent),
          failure);
    }
  }

  void RunClient(const Crowd& crowd, size_t index, FiberStream& stream) const {
    stream.SetDeadline(Clock::now() + kSendTimeout);
    error_code failure = stream.Connect(
        {boost::asio::ip::address_v4::loopback(), m_client_port});
    stream.EnableImmediateWrites();
    SendAll(stream, crowd.m_head, failure);
    for (size_t i = 0; i < crowd.m_pieces && !failure; ++i) {
      SendAll(stream, crowd.m_piece, failure);
      boost::this_fiber::yield();
    }
    if (index % kWholePeriod == 0) {
      SendAll(stream, crowd.m_end, failure);
    }
  }

  // Returns once all clients have sent what they send. Their connections stay
  // open until the end of the test.
  void RunCrowd(const Crowd& crowd) {
    size_t running = crowd.m_clients;
    for (size_t i = 0; i < crowd.m_clients; ++i) {
      m_crowd.push_back(
          std::make_unique<FiberStream>(tcp::socket(ThreadIoContext())));
      StartFiber([this, &crowd, &running, i, &stream = *m_crowd.back()] {
        RunClient(crowd, i, stream);
        --running;
      });
    }
    while (running > 0) {
      boost::this_fiber::sleep_for(kPollInterval);
    }
  }

  // Waits until the gateway has read what the kernel holds for it: until its
  // highest resident memory no longer grows.
  void AwaitSettled() const {
    size_t before = 0;
    size_t now = ReadStatus(m_gateway->GetPid(), "VmHWM");
    while (now != before) {
      boost::this_fiber::sleep_for(seconds(1));
      before = std::exchange(now, ReadStatus(m_gateway->GetPid(), "VmHWM"));
    }
  }

  void ExpectWithinTheMachine() {
    ASSERT_TRUE(m_gateway->IsRunning());
    const size_t descriptors = CountDescriptors(m_gateway->GetPid());
    const size_t memory = ReadStatus(m_gateway->GetPid(), "VmHWM");
    EXPECT_LT(memory, m_limits.m_memory * kMegabyte);
    EXPECT_LT(descriptors, m_limits.m_descriptors);
    RecordProperty("memory", std::to_string(memory));
    RecordProperty("descriptors", std::to_string(descriptors));
    std::printf("highest resident memory %zu kB, descriptors %zu\n",
                memory / 1000, descriptors);
  }

  uint16_t m_store_port = NextPort();
  uint16_t m_client_port = NextPort();
  uint16_t m_ready_port = NextPort();
  uint16_t m_backend_port = NextPort();
  uint16_t m_slow_port = NextPort();
  MachineLimits m_limits;
  Process m_platform;
  HttpServer m_backend;
  HttpServer m_slow_backend;
  PlatformTableStore m_store;
  std::unique_ptr<Process> m_gateway;
  std::vector<std::unique_ptr<FiberStream>> m_crowd;
  size_t m_received_body = 0;
};

TEST_P(UncontrolledClientsTest, GatewayStaysWithinTheMachineAndServesOthers) {
  StartGateway(MachineLimits());
  RunCrowd(GetParam());
  AwaitSettled();
  ExpectWithinTheMachine();
  EXPECT_TRUE(Eventually([this] { return Send("").m_status == 200; }));
  ExpectWithinTheMachine();
}

constexpr size_t kBody = 4 * kMebibyte;

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    UncontrolledClientsTest,
    testing::Values(
        Crowd{"WholeBodies", 32, BuildHeadWithLength(kBody),
              std::string(kBody - 1, 'x'), 1, "x"},
        Crowd{"BodiesInPieces", 32, BuildHeadWithLength(kBody),
              std::string(kBody / 64 - 1, 'x'), 64, std::string(64, 'x')},
        Crowd{"LargeChunks", 32, BuildChunkedHead(), BuildChunk(kBody / 8), 8,
              "0\r\n\r\n"},
        Crowd{"SmallChunks", 32, BuildChunkedHead(),
              Repeat(BuildChunk(16), 4096), kBody / 16 / 4096, "0\r\n\r\n"},
        Crowd{"AnnouncedFarOverTheLimit", 32, BuildHeadWithLength(16 * kBody),
              std::string(kBody, 'x'), 15, std::string(kBody, 'x')},
        Crowd{"SentFarOverTheLimit", 32, BuildChunkedHead(),
              BuildChunk(kBody / 8), 128, "0\r\n\r\n"},
        Crowd{"PipelinedBodies", 32, "",
              BuildHead("GET", "/slow/1", "Content-Length: 524288\r\n") +
                  std::string(512 * 1024, 'x'),
              8, "G"},
        Crowd{"PipelinedHeads", 160, "",
              BuildHead("GET",
                        "/slow/1",
                        "X-Padding: " + std::string(60 * 1024, 'x') + "\r\n"),
              16, "G"},
        Crowd{"SlowReaders", 320, Repeat(BuildHead("GET", "/x/large", ""), 4),
              "", 0, "G"},
        Crowd{"HeaderSections", 400,
              "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Padding: ",
              std::string(120 * 1024, 'x'), 1, "\r\n\r\n"},
        Crowd{"NoRequest", 400, "", "", 0, ""}),
    [](const auto& crowd) { return crowd.param.m_name; });

// A body of the configured limit took three times its size in memory.
TEST_F(UncontrolledClientsTest, BodyOfTheLimitIsServedInCalm) {
  MachineLimits limits;
  limits.m_memory = 120;
  limits.m_body = 64 * kMebibyte;
  StartGateway(limits);
  EXPECT_EQ(Send(std::string(limits.m_body, 'x')).m_status, 200);
  EXPECT_EQ(m_received_body, limits.m_body);
  ExpectWithinTheMachine();
}

}  // namespace
}  // namespace foxtail
