#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/load_generator.h"

namespace foxtail {
namespace {

constexpr const char* kRequestHead =
    "POST /catalogue/order HTTP/1.1\r\nhost: a\r\n"
    "authorization: Bearer key-club-1\r\nx-partition-key: key-1\r\n";

class BadInputTest : public testing::Test {
 protected:
  BadInputTest() {
    ClusterSettings settings;
    settings.m_entry_flags = {"--read-timeout", "300"};
    m_cluster = std::make_unique<Cluster>(settings);
    m_cluster->Start();
  }

  // Sends bytes to an entry and returns all bytes received until the entry
  // closes the connection.
  std::string SendRaw(const std::string& bytes) {
    const Address address = m_cluster->EntryAddress(0);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target = {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.m_port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)),
              0);
    const timeval timeout{20, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    std::string response;
    char buffer[4096];
    ssize_t got = 0;
    while ((got = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
      response.append(buffer, static_cast<size_t>(got));
    }
    close(fd);
    return response;
  }

  std::unique_ptr<Cluster> m_cluster;
};

TEST_F(BadInputTest, AmbiguousOrMalformedRequestsAreRefusedAndDoNotRun) {
  const std::string head = kRequestHead;
  const std::string smuggled_request =
      "0\r\n\r\n" + head + "content-length: 0\r\n\r\n";
  const std::vector<std::string> requests = {
      head + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n" +
          smuggled_request,
      head + "transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n" +
          smuggled_request,
      head + "content-length: 0\r\ncontent-length: 5\r\n\r\nhello",
      head + "transfer-encoding: chunked, chunked\r\n\r\n" + smuggled_request,
      head + "authorization: Bearer other\r\ncontent-length: 0\r\n\r\n",
      head + "host: b\r\ncontent-length: 0\r\n\r\n",
      head + "content-length: -1\r\n\r\n",
      head + "content-length: 99999999999999999999\r\n\r\n",
      head + "bad header\r\n\r\n",
      "POST\r\n\r\n",
      "\x16\x03\x01\x02\x01\x01\x01\xfc\x03\x03 not http\r\n\r\n",
  };
  for (const std::string& request : requests) {
    const std::string response = SendRaw(request);
    const bool refused = response.starts_with("HTTP/1.1 400") ||
                         response.starts_with("HTTP/1.1 413");
    EXPECT_TRUE(refused) << request << "\n" << response.substr(0, 300);
    EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << request;
  }
  EXPECT_TRUE(m_cluster->ReadRecords().empty());
}

TEST_F(BadInputTest, SlowClientIsDisconnectedAndOthersAreServed) {
  EXPECT_EQ(SendRaw(std::string(kRequestHead)), "");
  HttpClient client;
  EXPECT_EQ(SendRequest(*m_cluster, client, TestRequest()).m_status, 200);
}

TEST_F(BadInputTest, MalformedControlMessagesGetAResponse) {
  HttpClient client;
  for (const char* target : {"/sync", "/tokens", "/rpc"}) {
    for (const std::string& body :
         {std::string(), std::string(64, '\xff'), std::string("{\"a\":"),
          std::string("[[[[[[[["), std::string(60'000, '[')}) {
      HttpRequest request;
      request.m_method = "POST";
      request.m_target = target;
      request.m_headers.Set("x-foxtail-cluster", "test-cluster-secret");
      request.m_body = body;
      const HttpResponse response = client.Call(
          m_cluster->ControlAddress(0), request, std::chrono::seconds(5));
      EXPECT_FALSE(response.m_body.empty()) << target;
    }
  }
  EXPECT_TRUE(m_cluster->Control(0).IsRunning());
  EXPECT_TRUE(
      Cluster::Eventually([&] { return m_cluster->IsStable("catalogue"); }));
}

}  // namespace
}  // namespace foxtail
