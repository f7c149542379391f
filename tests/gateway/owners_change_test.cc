#include "gateway/owners_change.h"

#include <gtest/gtest.h>

#include <random>

#include "gateway/cluster_codec.h"

namespace foxtail {
namespace {

constexpr uint32_t kKeys = 65536;
constexpr uint32_t kRanges = 512;

OwnersRecord MakeRecord() {
  OwnersRecord record;
  record.m_epoch = 3;
  record.m_number = 10;
  for (uint32_t i = 0; i < kRanges; ++i) {
    const uint32_t first = i * (kKeys / kRanges);
    record.m_ranges.push_back({{first, first + kKeys / kRanges - 1},
                               "server-" + std::to_string(i % 386),
                               17,
                               true,
                               {}});
  }
  return record;
}

// Moves a range, and splits and joins others.
OwnersRecord MakeNext(OwnersRecord record, std::minstd_rand& random) {
  ++record.m_number;
  const size_t at = random() % (record.m_ranges.size() - 1);
  OwnedRange& range = record.m_ranges[at];
  range.m_previous_owners = {{range.m_server, random() % 2 == 0}};
  range.m_server = "server-" + std::to_string(random() % 386);
  range.m_grant_confirmed = random() % 2 == 0;
  OwnedRange next = record.m_ranges[at + 1];
  if (random() % 2 == 0) {
    range.m_range.m_last = next.m_range.m_last;
    record.m_ranges.erase(record.m_ranges.begin() +
                          static_cast<std::ptrdiff_t>(at) + 1);
  } else if (next.m_range.m_last > next.m_range.m_first) {
    OwnedRange rest = next;
    record.m_ranges[at + 1].m_range.m_last = next.m_range.m_first;
    rest.m_range.m_first = next.m_range.m_first + 1;
    record.m_ranges.insert(
        record.m_ranges.begin() + static_cast<std::ptrdiff_t>(at) + 2, rest);
  }
  return record;
}

TEST(OwnersChangeTest, ChangesInARowYieldTheSameRecords) {
  std::minstd_rand random(5);
  OwnersRecord sender = MakeRecord();
  OwnersRecord receiver = sender;
  for (int i = 0; i < 300; ++i) {
    const OwnersRecord next = MakeNext(sender, random);
    const auto applied =
        ApplyOwnersChange(receiver, BuildOwnersChange("s", 1, sender, next));
    ASSERT_TRUE(applied) << i;
    EXPECT_EQ(*applied, next) << i;
    sender = next;
    receiver = *applied;
  }
}

TEST(OwnersChangeTest, ChangeIsSmall) {
  std::minstd_rand random(6);
  const OwnersRecord from = MakeRecord();
  const OwnersRecord to = MakeNext(from, random);
  RelayedRows relayed;
  relayed.m_owners_changes = {BuildOwnersChange("s", 1, from, to)};
  EXPECT_LT(EncodeMessage(relayed).size(), 400U);
  EXPECT_GT(EncodeRecord(to).size(), 9000U);
}

// Missed, repeated and reordered changes, and a base that differs.
TEST(OwnersChangeTest, ChangeThatDoesNotFitIsRejected) {
  std::minstd_rand random(7);
  const OwnersRecord first = MakeRecord();
  const OwnersRecord second = MakeNext(first, random);
  const OwnersRecord third = MakeNext(second, random);
  const OwnersChange change = BuildOwnersChange("s", 1, second, third);
  EXPECT_FALSE(ApplyOwnersChange(first, change));
  EXPECT_FALSE(ApplyOwnersChange(third, change));
  OwnersRecord other = second;
  other.m_ranges.front().m_incarnation += 1;
  other.m_ranges.back().m_server = "another";
  EXPECT_FALSE(ApplyOwnersChange(other, change));
}

}  // namespace
}  // namespace foxtail
