#include "platform/server_control_client.h"

#include <gtest/gtest.h>

#include "runtime/http_server.h"

namespace foxtail {
namespace {

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

}  // namespace
}  // namespace foxtail
