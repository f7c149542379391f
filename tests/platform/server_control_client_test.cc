#include "platform/server_control_client.h"

#include <gtest/gtest.h>

#include <boost/fiber/operations.hpp>

#include "runtime/http_server.h"
#include "support/raw_server.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "i-2";
constexpr KeyRange kKeys{0, 100};

/// Fake of a backend server that took over the address of another one.
class FakeReplacement {
 public:
  FakeReplacement()
      : m_http({"127.0.0.1", 0},
               HttpServerSettings(),
               [](const HttpRequest& request) { return Serve(request); }) {
    m_http.Start();
  }
  ~FakeReplacement() { m_http.Stop(seconds(1)); }

  std::string GetAddress() const {
    return "127.0.0.1:" + std::to_string(m_http.GetPort());
  }

 private:
  static HttpResponse Serve(const HttpRequest& request) {
    HttpResponse response;
    const std::string server =
        request.m_headers.GetOr("X-Foxtailcart-Target-Instance", kServer);
    response.m_status = server == kServer ? 200 : 421;
    return response;
  }

  HttpServer m_http;
};

// A grant for a server that has ended was taken by the server that got its
// address.
TEST(ServerControlClientTest, CallsAreRejectedByAnotherServerAtTheAddress) {
  const FakeReplacement replacement;
  const std::string address = replacement.GetAddress();
  ServerControlClient client;
  std::string handover;
  EXPECT_EQ(
      client.Grant({"i-1", address}, kKeys, 1, seconds(4), "", seconds(5)),
      ServerCallOutcome::kReplaced);
  EXPECT_EQ(client.Release({"i-1", address}, kKeys, 1, seconds(5), handover),
            ServerCallOutcome::kReplaced);
  EXPECT_EQ(
      client.Grant({kServer, address}, kKeys, 1, seconds(4), "", seconds(5)),
      ServerCallOutcome::kDone);
  EXPECT_EQ(client.Release({kServer, address}, kKeys, 1, seconds(5), handover),
            ServerCallOutcome::kDone);
}

std::string BuildResponse(const std::string& call) {
  constexpr const char* kEnd = "Content-Length: 0\r\n\r\n";
  if (call.find(std::string(": ") + kServer + "\r\n") == std::string::npos) {
    return std::string("HTTP/1.1 421 Misdirected Request\r\n") + kEnd;
  }
  const bool is_release = call.starts_with("POST /release");
  return std::string("HTTP/1.1 200 OK\r\n") +
         (is_release ? "X-Foxtailcart-Handover: h\r\n" : "") + kEnd;
}

/// Fake of a faulty server: when it takes a call on a connection that it has
/// answered on before, it sends its last response once more. Its own response
/// follows after the time that a release takes.
class FakeCopyingServer {
 public:
  std::string GetAddress() const {
    return "127.0.0.1:" + std::to_string(m_server.GetPort());
  }

 private:
  static void Serve(RawConnection& connection) {
    std::string last_response;
    std::string call;
    while (!(call = connection.ReadUntil("}")).empty()) {
      connection.Write(last_response);
      boost::this_fiber::sleep_for(milliseconds(50));
      last_response = BuildResponse(call);
      connection.Write(last_response);
    }
  }

  RawServer m_server{&Serve};
};

// A second copy of the response to a grant completed a release: the keys moved
// while their first owner was at work on them.
TEST(ServerControlClientTest, CopyOfAResponseToAGrantCompletesNoRelease) {
  const FakeCopyingServer server;
  const ServerTarget target{kServer, server.GetAddress()};
  ServerControlClient client;
  for (int i = 0; i < 2; ++i) {
    std::string handover;
    EXPECT_EQ(client.Grant(target, kKeys, 1, seconds(4), "", seconds(5)),
              ServerCallOutcome::kDone);
    EXPECT_EQ(client.Release(target, kKeys, 2, seconds(5), handover),
              ServerCallOutcome::kDone);
    EXPECT_EQ(handover, "h");
  }
}

// A second copy of a rejection for the server that had the address before made
// the one that has it now count as ended.
TEST(ServerControlClientTest, CopyOfARejectionEndsNoServer) {
  const FakeCopyingServer server;
  ServerControlClient client;
  EXPECT_EQ(client.Grant({"i-1", server.GetAddress()}, kKeys, 1, seconds(4), "",
                         seconds(5)),
            ServerCallOutcome::kReplaced);
  EXPECT_EQ(client.Grant({kServer, server.GetAddress()}, kKeys, 1, seconds(4),
                         "", seconds(5)),
            ServerCallOutcome::kDone);
}

}  // namespace
}  // namespace foxtail
