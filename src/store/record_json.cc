#include "store/record_json.h"

#include "config/configuration_json.h"
#include "core/error.h"

namespace foxtail {
namespace {

Json::Value Encode(const ControlProcess& process) {
  Json::Value value;
  value["instance"] = process.m_incarnation;
  value["address"] = process.m_address;
  return value;
}

ControlProcess DecodeProcess(const Json::Value& value) {
  return {value["instance"].asString(), value["address"].asString()};
}

struct Encoder {
  Json::Value operator()(const std::monostate&) const { return {}; }

  Json::Value operator()(const LeaseRecord& record) const {
    Json::Value value;
    value["kind"] = "lease";
    value["holder"] = Encode(record.m_holder);
    value["epoch"] = Json::UInt64(record.m_epoch);
    value["renewals"] = Json::UInt64(record.m_renewals);
    value["released"] = record.m_released;
    value["standbys"] = Json::Value(Json::arrayValue);
    for (const ControlProcess& standby : record.m_standbys) {
      value["standbys"].append(Encode(standby));
    }
    return value;
  }

  Json::Value operator()(const AssignmentRecord& record) const {
    Json::Value value;
    value["kind"] = "assignment";
    value["control_epoch"] = Json::UInt64(record.m_control_epoch);
    value["version"] = Json::UInt64(record.m_version);
    value["owners"] = Json::Value(Json::arrayValue);
    for (const PartitionOwner& owner : record.m_owners) {
      Json::Value row(Json::arrayValue);
      row.append(owner.m_number);
      row.append(owner.m_server);
      row.append(Json::UInt64(owner.m_epoch));
      row.append(owner.m_previous);
      value["owners"].append(row);
    }
    return value;
  }

  Json::Value operator()(const CurrentConfigRecord& record) const {
    Json::Value value;
    value["kind"] = "version";
    value["version"] = Json::UInt64(record.m_version);
    value["plan"] = record.m_plan;
    value["confirmed_ms"] = Json::Int64(record.m_confirmed_ms);
    return value;
  }

  Json::Value operator()(const PlanRecord& record) const {
    Json::Value value;
    value["kind"] = "plan";
    value["id"] = record.m_id;
    value["summary"] = record.m_summary;
    value["base_version"] = Json::UInt64(record.m_base_version);
    value["state"] = static_cast<int>(record.m_state);
    value["moves"] = Json::UInt64(record.m_moves);
    value["confirmed_version"] = Json::UInt64(record.m_confirmed_version);
    value["unavailable_ms"] = record.m_unavailable_ms;
    value["changes"] = Json::Value(Json::arrayValue);
    for (const std::string& change : record.m_changes) {
      value["changes"].append(change);
    }
    value["document"] = ConfigurationToJson(record.m_configuration);
    return value;
  }
};

Configuration DecodeConfiguration(const Json::Value& document) {
  std::vector<ValidationError> errors;
  Configuration configuration = ConfigurationFromJson(document, errors);
  if (!errors.empty()) {
    throw Error(ErrorCode::kMessageMalformed, errors.front().m_path);
  }
  return configuration;
}

RecordValue DecodeLease(const Json::Value& value) {
  LeaseRecord record;
  record.m_holder = DecodeProcess(value["holder"]);
  record.m_epoch = value["epoch"].asUInt64();
  record.m_renewals = value["renewals"].asUInt64();
  record.m_released = value["released"].asBool();
  for (const Json::Value& standby : value["standbys"]) {
    record.m_standbys.push_back(DecodeProcess(standby));
  }
  return record;
}

RecordValue DecodeAssignment(const Json::Value& value) {
  AssignmentRecord record;
  record.m_control_epoch = value["control_epoch"].asUInt64();
  record.m_version = value["version"].asUInt64();
  for (const Json::Value& row : value["owners"]) {
    record.m_owners.push_back({row[0].asUInt(), row[1].asString(),
                               row[2].asUInt64(), row[3].asString()});
  }
  return record;
}

RecordValue DecodeVersion(const Json::Value& value) {
  return CurrentConfigRecord{value["version"].asUInt64(),
                             value["plan"].asString(),
                             value["confirmed_ms"].asInt64()};
}

RecordValue DecodePlan(const Json::Value& value) {
  PlanRecord record;
  record.m_id = value["id"].asString();
  record.m_summary = value["summary"].asString();
  record.m_base_version = value["base_version"].asUInt64();
  record.m_state = static_cast<PlanState>(value["state"].asInt());
  record.m_moves = value["moves"].asUInt64();
  record.m_confirmed_version = value["confirmed_version"].asUInt64();
  record.m_unavailable_ms = value["unavailable_ms"].asDouble();
  for (const Json::Value& change : value["changes"]) {
    record.m_changes.push_back(change.asString());
  }
  record.m_configuration = DecodeConfiguration(value["document"]);
  return record;
}

struct Decoder {
  const char* m_kind;
  RecordValue (*m_decode)(const Json::Value&);
};

constexpr Decoder kDecoders[] = {
    {"lease", &DecodeLease},
    {"assignment", &DecodeAssignment},
    {"version", &DecodeVersion},
    {"plan", &DecodePlan},
};

}  // namespace

Json::Value RecordToJson(const RecordValue& record) {
  return std::visit(Encoder(), record);
}

RecordValue RecordFromJson(const Json::Value& value) {
  try {
    const std::string kind = value["kind"].asString();
    for (const Decoder& decoder : kDecoders) {
      if (kind == decoder.m_kind) {
        return decoder.m_decode(value);
      }
    }
  } catch (const Json::Exception& failure) {
    throw Error(ErrorCode::kMessageMalformed, failure.what());
  }
  throw Error(ErrorCode::kMessageMalformed, "unknown record kind");
}

}  // namespace foxtail
