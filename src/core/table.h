#pragma once

#include <cassert>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "core/typed_id.h"

namespace foxtail {

/// A table of plain rows addressed by typed ids. The index of an erased row is
/// reused with a new sequence, so a stale id never finds a new row.
template <typename Row>
class Table {
 public:
  using Id = TypedId<Row>;

  /// Adds a row and returns its id.
  Id Insert(Row row) {
    uint32_t index = 0;
    if (m_free.empty()) {
      index = static_cast<uint32_t>(m_slots.size());
      m_slots.emplace_back();
    } else {
      index = m_free.back();
      m_free.pop_back();
    }
    Slot& slot = m_slots[index];
    slot.m_row.emplace(std::move(row));
    ++m_size;
    return {index, slot.m_sequence};
  }

  /// Removes the row with this id. The row must exist.
  void Erase(Id id) {
    assert(Find(id) != nullptr);
    Slot& slot = m_slots[id.m_index];
    slot.m_row.reset();
    ++slot.m_sequence;
    m_free.push_back(id.m_index);
    --m_size;
  }

  /// Returns the row, or null when the id is invalid or the row is gone.
  Row* Find(Id id) { return const_cast<Row*>(std::as_const(*this).Find(id)); }

  /// Returns the row, or null when the id is invalid or the row is gone.
  const Row* Find(Id id) const {
    if (id.m_index >= m_slots.size()) {
      return nullptr;
    }
    const Slot& slot = m_slots[id.m_index];
    if (!slot.m_row || slot.m_sequence != id.m_sequence) {
      return nullptr;
    }
    return &*slot.m_row;
  }

  /// Returns the row with this id, which must exist.
  Row& Get(Id id) {
    Row* row = Find(id);
    assert(row != nullptr);
    return *row;
  }

  /// Returns the row with this id, which must exist.
  const Row& Get(Id id) const {
    const Row* row = Find(id);
    assert(row != nullptr);
    return *row;
  }

  /// Calls `visit(id, row)` for each row in index order. `visit` may change
  /// rows and erase the visited row, but must not insert rows.
  template <typename Visit>
  void ForEach(Visit visit) {
    for (uint32_t i = 0; i < m_slots.size(); ++i) {
      if (m_slots[i].m_row) {
        visit(Id{i, m_slots[i].m_sequence}, *m_slots[i].m_row);
      }
    }
  }

  /// Calls `visit(id, row)` for each row in index order.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (uint32_t i = 0; i < m_slots.size(); ++i) {
      if (m_slots[i].m_row) {
        visit(Id{i, m_slots[i].m_sequence}, *m_slots[i].m_row);
      }
    }
  }

  /// Returns the id of the first row for which `matches(row)`, or an invalid
  /// id.
  template <typename Matches>
  Id FindIf(Matches matches) const {
    for (uint32_t i = 0; i < m_slots.size(); ++i) {
      if (m_slots[i].m_row && matches(*m_slots[i].m_row)) {
        return {i, m_slots[i].m_sequence};
      }
    }
    return {};
  }

  size_t size() const { return m_size; }

 private:
  struct Slot {
    std::optional<Row> m_row;
    uint32_t m_sequence = 0;
  };

  std::vector<Slot> m_slots;
  std::vector<uint32_t> m_free;
  size_t m_size = 0;
};

}  // namespace foxtail
