#include "standins/platform_standin.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/fiber/operations.hpp>

#include "core/error.h"
#include "core/json.h"

namespace foxtail {
namespace {

using Query = std::map<std::string, std::string>;

constexpr int kStatusNotFound = 404;
constexpr int kStatusGone = 410;
constexpr int kStatusPreconditionFailed = 412;
constexpr int kStatusUnavailable = 503;
constexpr int kHexBase = 16;
constexpr const char* kEraHeader = "Store-Era";

HttpResponse JsonResponse(int status, const Json::Value& body) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers.Set("content-type", "application/json");
  response.m_body = JsonText(body);
  return response;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, kHexBase));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

Query ParseQuery(const std::string& target) {
  Query query;
  const size_t query_start = target.find('?');
  if (query_start == std::string::npos) {
    return query;
  }
  std::vector<std::string> fields;
  const std::string text = target.substr(query_start + 1);
  boost::algorithm::split(fields, text, [](char c) { return c == '&'; });
  for (const std::string& field : fields) {
    const size_t equals = field.find('=');
    query[field.substr(0, equals)] =
        equals == std::string::npos ? ""
                                    : DecodePercent(field.substr(equals + 1));
  }
  return query;
}

std::string QueryField(const Query& query, const std::string& name) {
  const auto field = query.find(name);
  return field == query.end() ? "" : field->second;
}

Json::Value RowJson(const std::string& table,
                    const std::string& key,
                    const std::string& value,
                    uint64_t version,
                    bool removed) {
  Json::Value json;
  json["table"] = table;
  json["part"] = "";
  json["key"] = key;
  json["ver"] = Json::UInt64(version);
  if (removed) {
    json["removed"] = true;
  } else {
    json["value"] = value;
  }
  return json;
}

}  // namespace

HttpResponse PlatformStandin::Handle(HttpRequest& request) {
  if (request.m_target == "/faults") {
    return HandleFaults(request);
  }
  if (m_request_delay.count() > 0) {
    boost::this_fiber::sleep_for(m_request_delay);
  }
  HttpResponse response = m_down
                              ? JsonResponse(kStatusUnavailable, Json::Value())
                              : HandleRows(request);
  if (m_era > 0) {
    response.m_headers.Set(kEraHeader, std::to_string(m_era));
  }
  return response;
}

HttpResponse PlatformStandin::HandleFaults(const HttpRequest& request) {
  if (request.m_method == "POST") {
    const Json::Value body = ParseJson(request.m_body);
    m_down = body.get("down", m_down).asBool();
    m_responses_to_lose =
        body.get("lose_answers", m_responses_to_lose).asUInt();
    m_request_delay = std::chrono::milliseconds(
        body.get("delay_ms", Json::Int64(m_request_delay.count())).asInt64());
    if (body.get("drop_history", false).asBool()) {
      m_content.m_history_start = m_content.m_last_version;
    }
    if (body.get("take_copy", false).asBool()) {
      m_copy = m_content;
    }
    if (body.get("restore_copy", false).asBool()) {
      m_content = m_copy;
      ++m_era;
    }
    m_era = body.get("era", Json::UInt64(m_era)).asUInt64();
    m_rows_changed.Notify();
  }
  Json::Value state;
  state["era"] = Json::UInt64(m_era);
  state["reads"] = Json::UInt64(m_reads);
  state["writes"] = Json::UInt64(m_writes);
  return JsonResponse(200, state);
}

HttpResponse PlatformStandin::HandleRows(const HttpRequest& request) {
  const std::string path =
      request.m_target.substr(0, request.m_target.find('?'));
  const Query query = ParseQuery(request.m_target);
  if (path == "/rows-tx" && request.m_method == "POST") {
    ++m_writes;
    return RunTransaction(request.m_body);
  }
  ++m_reads;
  if (path == "/rows-get") {
    return GetRows(query);
  }
  if (path == "/rows-feed") {
    return ReadFeed(query);
  }
  return JsonResponse(kStatusNotFound, Json::Value());
}

Json::Value PlatformStandin::CommonFields() const {
  Json::Value body;
  body["ver"] = Json::UInt64(m_content.m_last_version);
  body["now_s"] = ToSeconds(Clock::now() - m_started_at);
  return body;
}

HttpResponse PlatformStandin::GetRows(const Query& query) const {
  const std::string table = QueryField(query, "table");
  const std::string target = QueryField(query, "target");
  Json::Value body = CommonFields();
  body["rows"] = Json::arrayValue;
  body["has_more"] = false;
  for (auto row =
           m_content.m_rows.lower_bound({table, QueryField(query, "from")});
       row != m_content.m_rows.end() && row->first.first == table; ++row) {
    const auto& [key, content] = *row;
    if (!target.empty() && key.second >= target) {
      break;
    }
    if (!content.m_removed) {
      body["rows"].append(RowJson(table, key.second, content.m_value,
                                  content.m_version, false));
    }
  }
  return JsonResponse(200, body);
}

HttpResponse PlatformStandin::ReadFeed(const Query& query) {
  const std::string table = QueryField(query, "table");
  const uint64_t after = std::stoull(QueryField(query, "after"));
  const TimePoint until =
      Clock::now() +
      std::chrono::milliseconds(std::stoul(QueryField(query, "wait_ms")));
  Json::Value rows = Json::arrayValue;
  while (true) {
    if (m_down) {
      return JsonResponse(kStatusUnavailable, Json::Value());
    }
    if (after < m_content.m_history_start || after > m_content.m_last_version) {
      return JsonResponse(kStatusGone, Json::Value());
    }
    std::map<uint64_t, Json::Value> changes;
    for (auto row = m_content.m_rows.lower_bound({table, ""});
         row != m_content.m_rows.end() && row->first.first == table; ++row) {
      const Row& content = row->second;
      if (content.m_version > after) {
        changes[content.m_version] =
            RowJson(table, row->first.second, content.m_value,
                    content.m_version, content.m_removed);
      }
    }
    for (const auto& [version, change] : changes) {
      rows.append(change);
    }
    if (!rows.empty() || Clock::now() >= until) {
      break;
    }
    m_rows_changed.WaitUntil(until);
  }
  Json::Value body = CommonFields();
  body["rows"] = rows;
  return JsonResponse(200, body);
}

uint64_t PlatformStandin::VersionOf(const Key& key) const {
  const auto row = m_content.m_rows.find(key);
  return row == m_content.m_rows.end() || row->second.m_removed
             ? 0
             : row->second.m_version;
}

HttpResponse PlatformStandin::RunTransaction(std::string_view text) {
  const Json::Value request = ParseJson(text);
  for (const Json::Value& expected : request["expected_rev"]) {
    const Key key{expected["table"].asString(), expected["key"].asString()};
    if (VersionOf(key) != expected["ver"].asUInt64()) {
      return JsonResponse(kStatusPreconditionFailed, CommonFields());
    }
  }
  ++m_content.m_last_version;
  for (const Json::Value& write : request["writes"]) {
    m_content.m_rows[{write["table"].asString(), write["key"].asString()}] = {
        m_content.m_last_version, write["value"].asString(), false};
  }
  for (const Json::Value& drop : request["drop"]) {
    m_content.m_rows[{drop["table"].asString(), drop["key"].asString()}] = {
        m_content.m_last_version, "", true};
  }
  m_rows_changed.Notify();
  if (m_responses_to_lose > 0) {
    --m_responses_to_lose;
    HttpResponse lost;
    lost.m_drop_connection = true;
    return lost;
  }
  return JsonResponse(200, CommonFields());
}

}  // namespace foxtail
