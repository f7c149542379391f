#include "core/table.h"

#include <gtest/gtest.h>

namespace foxtail {
namespace {

TEST(TableTest, StaleIdDoesNotFindNewRow) {
  Table<int> table;
  const auto first = table.Insert(1);
  table.Erase(first);
  const auto second = table.Insert(2);
  EXPECT_EQ(second.m_index, first.m_index);
  EXPECT_EQ(table.Find(first), nullptr);
  EXPECT_EQ(table.Get(second), 2);
}

TEST(TableTest, VisitsRowsAndAllowsErasingTheVisitedOne) {
  Table<int> table;
  for (int i = 0; i < 5; ++i) {
    table.Insert(i);
  }
  table.ForEach([&](auto id, int& row) {
    if (row % 2 == 0) {
      table.Erase(id);
    }
  });
  EXPECT_EQ(table.size(), 2U);
  EXPECT_FALSE(table.FindIf([](int row) { return row == 4; }).IsValid());
  EXPECT_TRUE(table.FindIf([](int row) { return row == 3; }).IsValid());
}

TEST(TableTest, DefaultIdFindsNothing) {
  Table<int> table;
  table.Insert(1);
  EXPECT_EQ(table.Find({}), nullptr);
}

}  // namespace
}  // namespace foxtail
