#include "gateway/owners_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <unordered_set>

#include "core/digest.h"

namespace foxtail {
namespace {

const OwnedRange* FindRange(const OwnersRecord& record, uint32_t first) {
  const auto found = std::ranges::lower_bound(
      record.m_ranges, first, {},
      [](const OwnedRange& owned) { return owned.m_range.m_first; });
  const bool matches =
      found != record.m_ranges.end() && found->m_range.m_first == first;
  return matches ? &*found : nullptr;
}

}  // namespace

uint64_t DigestOf(const OwnersRecord& record) {
  fmt::memory_buffer text;
  auto out = std::back_inserter(text);
  fmt::format_to(out, "{} {}", record.m_epoch, record.m_number);
  for (const OwnedRange& owned : record.m_ranges) {
    fmt::format_to(out, "|{} {} {} {} {}", owned.m_range.m_first,
                   owned.m_range.m_last, owned.m_server, owned.m_incarnation,
                   owned.m_grant_confirmed);
    for (const PreviousOwner& previous : owned.m_previous_owners) {
      fmt::format_to(out, " {} {}", previous.m_server,
                     previous.m_has_late_grant);
    }
  }
  return FastHash({text.data(), text.size()});
}

OwnersChange BuildOwnersChange(const std::string& service,
                               uint64_t row_version,
                               const OwnersRecord& from,
                               const OwnersRecord& to) {
  OwnersRecord added;
  added.m_epoch = to.m_epoch;
  added.m_number = to.m_number;
  for (const OwnedRange& owned : to.m_ranges) {
    const OwnedRange* before = FindRange(from, owned.m_range.m_first);
    if (!before || *before != owned) {
      added.m_ranges.push_back(owned);
    }
  }
  OwnersChange change;
  change.m_service = service;
  change.m_row_version = row_version;
  change.m_base_number = from.m_number;
  for (const OwnedRange& owned : from.m_ranges) {
    const OwnedRange* after = FindRange(to, owned.m_range.m_first);
    if (!after || *after != owned) {
      change.m_removed.push_back(static_cast<uint16_t>(owned.m_range.m_first));
    }
  }
  change.m_added = Pack(added);
  change.m_digest = DigestOf(to);
  return change;
}

std::optional<OwnersRecord> ApplyOwnersChange(const OwnersRecord& from,
                                              const OwnersChange& change) {
  if (from.m_number != change.m_base_number) {
    return std::nullopt;
  }
  OwnersRecord result = Unpack(change.m_added);
  const std::unordered_set<uint32_t> removed(change.m_removed.begin(),
                                             change.m_removed.end());
  std::ranges::copy_if(from.m_ranges, std::back_inserter(result.m_ranges),
                       [&removed](const OwnedRange& owned) {
                         return !removed.contains(owned.m_range.m_first);
                       });
  std::ranges::sort(result.m_ranges, {}, &OwnedRange::m_range);
  if (DigestOf(result) != change.m_digest) {
    return std::nullopt;
  }
  return result;
}

}  // namespace foxtail
