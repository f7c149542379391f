#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace foxtail {

/// A backend server's registration. Its id is the key of its row.
struct BackendServerEntry {
  std::string m_id;
  std::string m_service;

  /// IP:PORT.
  std::string m_address;
  std::string m_data_centre;
  uint32_t m_slots = 1;

  /// Version of the server's software; empty if it does not tell.
  std::string m_software_version;

  /// The server must receive no new requests and will shut down.
  bool m_draining = false;

  /// Remaining cold time, counted from the moment of the registration.
  Duration m_cold_left{};

  /// Changes at each start of the server, also if the id stays the same.
  int64_t m_incarnation = 0;

  bool operator==(const BackendServerEntry&) const = default;
};

}  // namespace foxtail
