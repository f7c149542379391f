#include "gateway/relay_groups.h"

#include <algorithm>
#include <map>

namespace foxtail {
namespace {

// Number of followers of one relay. A larger group takes longer on the link of
// a small host; a smaller one loads the leader's.
constexpr size_t kMaxFollowers = 20;

// A member that may follow or relay.
struct Candidate {
  const MemberRecord* m_record = nullptr;
  bool m_reachable = false;
};

// Ranks relays: reachable ones first, then the strongest.
bool IsBetterRelay(const Candidate& a, const Candidate& b) {
  if (a.m_reachable != b.m_reachable) {
    return a.m_reachable;
  }
  return IsStronger(*a.m_record, *b.m_record);
}

void AddGroups(std::vector<Candidate> candidates,
               std::vector<RelayGroup>& groups) {
  std::ranges::sort(candidates, IsBetterRelay);
  const size_t first = groups.size();
  const size_t count =
      (candidates.size() + kMaxFollowers) / (kMaxFollowers + 1);
  for (size_t i = 0; i < candidates.size(); ++i) {
    const std::string& address = candidates[i].m_record->m_address;
    if (i < count) {
      groups.push_back({address, {}});
    } else if (candidates[i].m_reachable) {
      groups[first + i % count].m_followers.push_back(address);
    } else {
      // A relay must not be needed to learn that a member is back.
      groups.push_back({address, {}});
    }
  }
}

}  // namespace

std::vector<RelayGroup> BuildRelayGroups(const GatewayTables& tables,
                                         const Now& now) {
  const Duration timeout = tables.m_settings.m_contact_silence_timeout;
  std::map<std::string, std::vector<Candidate>> by_data_centre;
  tables.m_members.ForEach([&](MemberId, const MemberRow& member) {
    if (member.m_record.m_address != tables.m_self.m_address) {
      // Nothing is known yet of a member that has not reported.
      const bool reachable =
          !member.m_contact.WasHeard() ||
          member.m_contact.UnreportedTime(now.m_steady, timeout) < timeout;
      by_data_centre[member.m_record.m_data_centre].push_back(
          {&member.m_record, reachable});
    }
  });
  std::vector<RelayGroup> groups;
  for (auto& [data_centre, candidates] : by_data_centre) {
    AddGroups(std::move(candidates), groups);
  }
  return groups;
}

}  // namespace foxtail
