#include "runtime/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <optional>

#include "runtime/fiber_event.h"
#include "runtime/fiber_scheduler.h"

namespace foxtail {
namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

// Sends a request before any fiber of the server can run, and closes the
// connection if told to. Returns whether the handler found the request
// cancelled, or nothing if it did not run.
std::optional<bool> HandleRequestOfClient(bool closes) {
  FiberEvent handled;
  std::optional<bool> cancelled;
  HttpServer server({"127.0.0.1", 0}, HttpServerSettings(),
                    [&](HttpRequest& request) {
                      cancelled = request.m_cancellation->IsCancelled();
                      handled.Notify();
                      return HttpResponse();
                    });
  server.Start();
  tcp::socket client(ThreadIoContext());
  client.connect({boost::asio::ip::address_v4::loopback(), server.GetPort()});
  boost::asio::write(
      client,
      boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
  if (closes) {
    client.close();
  }
  const TimePoint until = Clock::now() + seconds(5);
  while (!cancelled && Clock::now() < until) {
    handled.WaitUntil(until);
  }
  client.close();
  EXPECT_TRUE(server.Stop(seconds(5)));
  return cancelled;
}

// A server that is behind reads requests whose clients have left already.
TEST(HttpServerTest, RequestOfAClientThatLeftIsCancelledFromTheStart) {
  EXPECT_EQ(HandleRequestOfClient(true), true);
  EXPECT_EQ(HandleRequestOfClient(false), false);
}

}  // namespace
}  // namespace foxtail
