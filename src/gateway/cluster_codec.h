#pragma once

#include <string>
#include <variant>

#include "gateway/cluster_records.h"
#include "gateway/era_history.h"
#include "gateway/relayed_rows.h"
#include "gateway/rollout_records.h"

namespace foxtail {

/// A datagram between gateways.
using ClusterMessage = std::variant<MemberReport,
                                    ReportResponse,
                                    RelayedRows,
                                    LeaderAnnouncement,
                                    LeavingServersNotice,
                                    RolloutReport,
                                    RolloutNotice,
                                    HistoryRequest,
                                    HistoryResponse>;

/// Encode and decode records and messages in a compact binary format with a
/// checksum. The decoders throw `Error(kMessageMalformed)`.
std::string EncodeRecord(const MemberRecord& record);
std::string EncodeRecord(const LeaderLeaseRecord& record);
std::string EncodeRecord(const OwnersRecord& record);
std::string EncodeRecord(const RolloutRecord& record);
std::string EncodeMessage(const ClusterMessage& message);
MemberRecord DecodeMemberRecord(const std::string& bytes);
LeaderLeaseRecord DecodeLeaderLeaseRecord(const std::string& bytes);
OwnersRecord DecodeOwnersRecord(const std::string& bytes);
RolloutRecord DecodeRolloutRecord(const std::string& bytes);
ClusterMessage DecodeClusterMessage(const std::string& bytes);

}  // namespace foxtail
