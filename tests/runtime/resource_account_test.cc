#include "runtime/resource_account.h"

#include <gtest/gtest.h>

#include <vector>

#include "runtime/body_buffer.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;
using ConnectionId = ResourceAccount::ConnectionId;

constexpr uint64_t kMegabyte = 1'000'000;
constexpr TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kStalled{600};

// An account of 32 MB, of which 14 MB are the capacity and 12.25 MB of these
// are for connections that hold much.
class ResourceAccountTest : public testing::Test {
 protected:
  static ResourceSettings BuildSettings() {
    ResourceSettings settings;
    settings.m_memory_limit = 32 * kMegabyte;
    settings.m_descriptor_limit = 256;
    return settings;
  }

  ResourceAccountTest() : m_account(BuildSettings()) {
    m_account.SetOnClose([this](ConnectionId id) { m_closed.push_back(id); });
  }

  ConnectionId OpenReceiving(uint64_t bytes) {
    const ConnectionId id = m_account.Open(kStart);
    m_account.SetPhase(id, ConnectionPhase::kReceiving, kStart);
    EXPECT_TRUE(m_account.TryHold(id, bytes, kStart));
    return id;
  }

  ResourceAccount m_account;
  std::vector<ConnectionId> m_closed;
};

// Bodies took all memory: nothing counted what all connections held together.
TEST_F(ResourceAccountTest, BodiesLeaveTheReservedPartToSmallRequests) {
  OpenReceiving(12 * kMegabyte);
  const ConnectionId other = m_account.Open(kStart);
  EXPECT_FALSE(m_account.TryHold(other, kMegabyte, kStart));
  EXPECT_TRUE(m_account.TryHold(other, 1000, kStart));
  EXPECT_TRUE(m_closed.empty());
}

// A client that stops short of the end of its body kept the memory from all
// others.
TEST_F(ResourceAccountTest, StalledBodyIsClosedForAnother) {
  const ConnectionId stalled = OpenReceiving(5 * kMegabyte);
  const ConnectionId moving = OpenReceiving(6 * kMegabyte);
  const TimePoint now = kStart + kStalled;
  m_account.OnTransferred(moving, 4096, now);
  const ConnectionId other = m_account.Open(now);
  EXPECT_TRUE(m_account.TryHold(other, 4 * kMegabyte, now));
  EXPECT_EQ(m_closed, std::vector<ConnectionId>{stalled});
}

// Single bytes must not count as progress.
TEST_F(ResourceAccountTest, TrickleIsNoProgress) {
  const ConnectionId trickling = OpenReceiving(11 * kMegabyte);
  m_account.OnTransferred(trickling, 1, kStart + milliseconds(400));
  const TimePoint now = kStart + kStalled;
  EXPECT_TRUE(m_account.TryHold(m_account.Open(now), 4 * kMegabyte, now));
  EXPECT_EQ(m_closed, std::vector<ConnectionId>{trickling});
}

// A server may be running the request: closing the connection would leave its
// outcome unknown.
TEST_F(ResourceAccountTest, ServedRequestIsNotClosed) {
  const ConnectionId serving = OpenReceiving(11 * kMegabyte);
  m_account.SetPhase(serving, ConnectionPhase::kServing, kStart);
  const TimePoint now = kStart + 10 * kStalled;
  EXPECT_FALSE(m_account.TryHold(m_account.Open(now), 4 * kMegabyte, now));
  EXPECT_TRUE(m_closed.empty());
}

// Small requests filled the whole capacity, and none of them stalled.
TEST_F(ResourceAccountTest, SmallRequestTakesTheRoomOfAnArrivingBody) {
  const ConnectionId body = OpenReceiving(12 * kMegabyte);
  for (int i = 0; i < 80 && m_closed.empty(); ++i) {
    EXPECT_TRUE(m_account.TryHold(m_account.Open(kStart), 50'000, kStart));
  }
  EXPECT_EQ(m_closed, std::vector<ConnectionId>{body});
}

// Memory that the account does not count, as of fragmented blocks, ended the
// process.
TEST_F(ResourceAccountTest, MeasuredMemoryReducesTheCapacity) {
  const ConnectionId id = m_account.Open(kStart);
  m_account.OnResidentMemory(24 * kMegabyte);
  EXPECT_FALSE(m_account.TryHold(id, 6 * kMegabyte, kStart));
  EXPECT_TRUE(m_account.ShouldReturnMemory());
}

// What was freed after the last measurement was taken for the process's own
// memory, and the next body of the limit was refused.
TEST_F(ResourceAccountTest, FreedMemoryIsUsableBeforeTheNextMeasurement) {
  const ConnectionId first = OpenReceiving(12 * kMegabyte);
  m_account.OnResidentMemory(22 * kMegabyte);
  m_account.Close(first);
  OpenReceiving(12 * kMegabyte);
}

// Connections without a request took all descriptors.
TEST_F(ResourceAccountTest, IdleConnectionIsClosedForANewOne) {
  ConnectionId last;
  size_t opened = 0;
  for (last = m_account.Open(kStart); last.IsValid();
       last = m_account.Open(kStart)) {
    ++opened;
  }
  EXPECT_EQ(opened, 160U);
  EXPECT_TRUE(m_account.Open(kStart + kStalled).IsValid());
  EXPECT_EQ(m_closed.size(), 1U);
}

// Slow readers took all descriptors for their servers' connections.
TEST_F(ResourceAccountTest, SlowReaderIsClosedForAServersConnection) {
  const ConnectionId reader = m_account.Open(kStart);
  m_account.SetPhase(reader, ConnectionPhase::kSending, kStart);
  while (m_account.TryOpenServerConnection(kStart)) {
  }
  const TimePoint now = kStart + kStalled;
  EXPECT_FALSE(m_account.TryOpenServerConnection(now));
  EXPECT_EQ(m_closed, std::vector<ConnectionId>{reader});
  EXPECT_TRUE(m_account.TryOpenServerConnection(now));
}

// A body outlives its connection when its handler keeps it.
TEST_F(ResourceAccountTest, ReleaseAfterTheConnectionCountsOnce) {
  const ConnectionId id = OpenReceiving(kMegabyte);
  m_account.Close(id);
  m_account.Release(id, kMegabyte);
  EXPECT_EQ(m_account.GetState().m_held, 0U);
}

// A body of the limit was held in memory before any of it had arrived.
TEST(BodyBufferTest, HoldsOnlyWhatHasArrived) {
  auto account = std::make_shared<ResourceAccount>(ResourceSettings());
  const ConnectionId id = account->Open(kStart);
  const uint64_t before = account->GetState().m_held;
  BodyBuffer buffer(MemoryCharge(account, id));
  EXPECT_TRUE(buffer.Announce(64 * kMegabyte));
  EXPECT_TRUE(buffer.Append("wax", 3));
  EXPECT_LE(account->GetState().m_held - before, 4096U);
  buffer.Clear();
  EXPECT_EQ(account->GetState().m_held, before);
}

// The end of a body of known length must not cost another step of growth.
TEST(BodyBufferTest, GrowsToTheAnnouncedLength) {
  constexpr size_t kLength = 300'000;
  auto account = std::make_shared<ResourceAccount>(ResourceSettings());
  const ConnectionId id = account->Open(kStart);
  const uint64_t before = account->GetState().m_held;
  BodyBuffer buffer(MemoryCharge(account, id));
  EXPECT_TRUE(buffer.Announce(kLength));
  const std::string piece(1000, 'x');
  for (size_t i = 0; i < kLength / piece.size(); ++i) {
    EXPECT_TRUE(buffer.Append(piece.data(), piece.size()));
  }
  EXPECT_EQ(buffer.View(), std::string(kLength, 'x'));
  EXPECT_EQ(account->GetState().m_held - before, kLength);
}

}  // namespace
}  // namespace foxtail
