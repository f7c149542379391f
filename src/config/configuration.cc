#include "config/configuration.h"

#include <algorithm>

#include "core/digest.h"

namespace foxtail {
namespace {

constexpr PartitionNumber kPinBit = 0x80000000U;

// Maps 32 bits of a hash to ranges of equal size by multiply and shift, without
// a division.
PartitionNumber RangeOfHash(const ServiceConfig& service, uint64_t hash) {
  return static_cast<PartitionNumber>((hash * service.m_partitions) >> 32U);
}

}  // namespace

PartitionNumber PartitionOfPin(const std::string& key) {
  return kPinBit | static_cast<PartitionNumber>(FastHash(key) >> 33U);
}

PartitionNumber PartitionOfKey(const ServiceConfig& service,
                               const std::string& key) {
  const auto pinned =
      std::ranges::find(service.m_pinned_keys, key, &PinnedKeyConfig::m_key);
  if (pinned != service.m_pinned_keys.end()) {
    return PartitionOfPin(key);
  }
  return RangeOfHash(service, FastHash(key) >> 32U);
}

std::vector<PartitionNumber> HashRangesOfPin(const ServiceConfig& service,
                                             PartitionNumber pin) {
  const uint64_t low = uint64_t{pin & ~kPinBit} << 1U;
  const PartitionNumber first = RangeOfHash(service, low);
  const PartitionNumber second = RangeOfHash(service, low | 1U);
  return first == second ? std::vector{first} : std::vector{first, second};
}

bool IsServing(const Configuration& configuration,
               const BackendServerConfig& server) {
  if (server.m_state == ServingState::kLeaving) {
    return false;
  }
  const auto data_centre =
      std::ranges::find(configuration.m_data_centres, server.m_data_centre,
                        &DataCentreConfig::m_name);
  return data_centre == configuration.m_data_centres.end() ||
         data_centre->m_state == ServingState::kServing;
}

const ServiceConfig* FindService(const Configuration& configuration,
                                 const std::string& name) {
  const auto found =
      std::ranges::find(configuration.m_services, name, &ServiceConfig::m_name);
  return found == configuration.m_services.end() ? nullptr : &*found;
}

}  // namespace foxtail
