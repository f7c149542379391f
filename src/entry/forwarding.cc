#include "entry/forwarding.h"

#include <array>
#include <charconv>
#include <vector>

#include "core/digest.h"
#include "runtime/cluster_request.h"
#include "runtime/error_response.h"

namespace foxtail {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kReservedPrefix = "x-foxtail-";
constexpr const char* kCellHeader = "x-foxtail-cell";
constexpr const char* kPartitionHeader = "x-foxtail-partition";
constexpr const char* kWorkspaceHeader = "x-foxtail-workspace";
constexpr const char* kWeightHeader = "x-foxtail-weight";
constexpr const char* kRequestIdHeader = "x-foxtail-request-id";
constexpr const char* kIssuedHeader = "x-foxtail-issued-ms";
constexpr const char* kIdempotentHeader = "x-foxtail-repeatable";
constexpr const char* kFreshHeader = "x-foxtail-fresh";
constexpr const char* kDeadlineHeader = "x-foxtail-deadline-ms";
constexpr const char* kDeadlineUnixHeader = "x-foxtail-deadline-unix-ms";
constexpr const char* kEpochHeader = "x-foxtail-epoch";

// Header fields that belong to one connection or that contain credentials.
constexpr std::array kStrippedFields = {"connection",
                                        "keep-alive",
                                        "proxy-connection",
                                        "transfer-encoding",
                                        "te",
                                        "trailer",
                                        "upgrade",
                                        "content-length",
                                        "host",
                                        "authorization",
                                        "proxy-authorization",
                                        "cookie",
                                        "expect",
                                        "x-execution"};

bool HasReservedPrefix(const std::string& name) {
  if (name.size() < kReservedPrefix.size()) {
    return false;
  }
  for (size_t i = 0; i < kReservedPrefix.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(name[i])) !=
        kReservedPrefix[i]) {
      return false;
    }
  }
  return true;
}

template <typename Number>
Number ParseNumberHeader(const HttpRequest& request, const char* header) {
  const std::string text = request.m_headers.GetOr(header, "");
  Number number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || result.ec != std::errc() ||
      result.ptr != text.data() + text.size()) {
    throw Error(ErrorCode::kMessageMalformed, header);
  }
  return number;
}

milliseconds RemainingTime(TimePoint deadline, TimePoint now) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(deadline - now));
}

}  // namespace

std::string BearerSecret(const HttpRequest& request) {
  const std::string value = request.m_headers.GetOr("authorization", "");
  return value.starts_with(kBearer) ? value.substr(kBearer.size()) : "";
}

void StripRequest(HttpRequest& request, const std::string& secret) {
  if (!secret.empty() && request.m_target.find(secret) != std::string::npos) {
    throw Error(ErrorCode::kRequestMalformed, "the target holds the API key");
  }
  std::vector<std::string> removed(kStrippedFields.begin(),
                                   kStrippedFields.end());
  for (const HttpHeader& field : request.m_headers.All()) {
    const bool contains_secret =
        !secret.empty() && field.m_value.find(secret) != std::string::npos;
    if (contains_secret || HasReservedPrefix(field.m_name)) {
      removed.push_back(field.m_name);
    }
  }
  for (const std::string& name : removed) {
    request.m_headers.Remove(name);
  }
}

uint64_t FingerprintOf(const HttpRequest& request) {
  uint64_t hash = FastHash(request.m_method);
  hash = FastHash(request.m_target, hash);
  return FastHash(request.m_body, hash);
}

HttpRequest BuildBackendRequest(const HttpRequest& stripped,
                                const DispatchQuery& query,
                                uint64_t epoch,
                                const Now& now) {
  HttpRequest request = stripped;
  const milliseconds left = RemainingTime(query.m_deadline, now.m_steady);
  const WallTime deadline = now.m_wall + left;
  HttpHeaders& headers = request.m_headers;
  headers.Set(kCellHeader, query.m_cell);
  headers.Set(kPartitionHeader, std::to_string(query.m_partition));
  headers.Set(kEpochHeader, std::to_string(epoch));
  headers.Set(kWorkspaceHeader, query.m_workspace);
  headers.Set(kRequestIdHeader, query.m_id.m_text);
  headers.Set(kDeadlineHeader, std::to_string(left.count()));
  headers.Set(kDeadlineUnixHeader,
              std::to_string(deadline.time_since_epoch().count()));
  return request;
}

HttpResponse BuildClientResponse(HttpResponse response) {
  for (const char* name : {"connection", "keep-alive", "transfer-encoding",
                           "content-length", "x-server-instance"}) {
    response.m_headers.Remove(name);
  }
  response.m_headers.Remove(kErrorHeader);
  response.m_headers.Set(kExecutionHeader, NameOf(Execution::kRan));
  return response;
}

HttpRequest BuildDispatchRequest(const HttpRequest& stripped,
                                 const DispatchQuery& query,
                                 const std::string& cluster_secret,
                                 TimePoint now) {
  HttpRequest request = stripped;
  HttpHeaders& headers = request.m_headers;
  headers.Set(kClusterHeader, cluster_secret);
  headers.Set(kCellHeader, query.m_cell);
  headers.Set(kPartitionHeader, std::to_string(query.m_partition));
  headers.Set(kWorkspaceHeader, query.m_workspace);
  headers.Set(kWeightHeader, std::to_string(query.m_weight));
  headers.Set(kRequestIdHeader, query.m_id.m_text);
  headers.Set(
      kIssuedHeader,
      std::to_string(query.m_id.m_issued_at.time_since_epoch().count()));
  headers.Set(kIdempotentHeader, query.m_idempotent ? "1" : "0");
  headers.Set(kFreshHeader, query.m_fresh ? "1" : "0");
  headers.Set(kDeadlineHeader,
              std::to_string(RemainingTime(query.m_deadline, now).count()));
  return request;
}

DispatchQuery ExtractDispatchQuery(HttpRequest& request, TimePoint now) {
  DispatchQuery query;
  query.m_cell = request.m_headers.GetOr(kCellHeader, "");
  query.m_partition =
      ParseNumberHeader<PartitionNumber>(request, kPartitionHeader);
  query.m_workspace = request.m_headers.GetOr(kWorkspaceHeader, "");
  query.m_weight = ParseNumberHeader<uint32_t>(request, kWeightHeader);
  query.m_id.m_text = request.m_headers.GetOr(kRequestIdHeader, "");
  query.m_id.m_issued_at = WallTime(
      milliseconds(ParseNumberHeader<int64_t>(request, kIssuedHeader)));
  query.m_idempotent = ParseNumberHeader<int>(request, kIdempotentHeader) != 0;
  query.m_fresh = ParseNumberHeader<int>(request, kFreshHeader) != 0;
  query.m_deadline =
      now + milliseconds(ParseNumberHeader<int64_t>(request, kDeadlineHeader));
  query.m_fingerprint = FingerprintOf(request);
  StripRequest(request, "");
  return query;
}

HttpResponse BuildDispatchErrorResponse(const Error& error) {
  HttpResponse response = ToErrorResponse(error);
  response.m_headers.Set(kErrorHeader, "1");
  return response;
}

}  // namespace foxtail
