#include "soak/soak_checks.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace foxtail {
namespace {

// A withdrawn API key must stop working within this time (`revoke_s` of the
// platform in all deployments).
constexpr std::chrono::seconds kMaxWithdrawalDelay{5};

bool StatesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// The fencing tokens of a key's runs must rise over time when the server
// changes. Otherwise a server ran a request under an older grant than another
// server had already used.
void CheckExclusiveOwnership(const std::vector<SoakRun>& runs,
                             std::vector<std::string>& violations) {
  std::map<int, const SoakRun*> newest;
  for (const SoakRun& run : runs) {
    if (run.m_key < 0) {
      continue;
    }
    const SoakRun*& last = newest[run.m_key];
    if (last && last->m_server != run.m_server &&
        last->m_fence >= run.m_fence) {
      violations.push_back(
          "two owners of key " + std::to_string(run.m_key) + ": " +
          last->m_server + " under " + std::to_string(last->m_fence) +
          ", then " + run.m_server + " under " + std::to_string(run.m_fence));
    }
    last = &run;
  }
}

void CheckRequest(const SoakExchange& exchange,
                  const std::vector<const SoakRun*>& runs,
                  const std::vector<SoakWithdrawal>& withdrawals,
                  std::vector<std::string>& violations) {
  const std::string name =
      exchange.m_request + " (" + std::to_string(exchange.m_status) + ")";
  if (!exchange.m_idempotent && runs.size() > 1) {
    violations.push_back("ran twice: " + name);
  }
  if (!exchange.m_idempotent && StatesNotRun(exchange.m_status) &&
      !runs.empty()) {
    violations.push_back("ran though it was refused: " + name);
  }
  if (exchange.m_status == 200 &&
      (runs.empty() || exchange.m_body != "ran " + exchange.m_request)) {
    violations.push_back("response does not match the request: " + name);
  }
  for (const SoakWithdrawal& withdrawal : withdrawals) {
    if (!runs.empty() && withdrawal.m_api_key == exchange.m_api_key &&
        exchange.m_sent_at >
            withdrawal.m_acknowledged_at + kMaxWithdrawalDelay) {
      violations.push_back("ran with a withdrawn API key: " + name);
    }
  }
}

}  // namespace

std::vector<SoakRun> ReadSoakRuns(const std::string& folder) {
  std::vector<SoakRun> runs;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    std::ifstream lines(file.path());
    for (std::string line; std::getline(lines, line);) {
      std::istringstream fields(line);
      SoakRun run;
      int64_t at = 0;
      std::string api_key;
      // A line truncated by a kill belongs to a run that had not begun.
      if (fields >> at >> run.m_server >> run.m_request >> run.m_key >>
          run.m_fence >> api_key >> run.m_workspace) {
        run.m_started_at = TimePoint(Duration(at));
        run.m_received_api_key = api_key != "-";
        runs.push_back(std::move(run));
      }
    }
  }
  return runs;
}

std::vector<std::string> FindViolations(
    std::vector<SoakRun> runs,
    const std::vector<SoakExchange>& exchanges,
    const std::vector<SoakWithdrawal>& withdrawals) {
  std::ranges::stable_sort(runs, {}, &SoakRun::m_started_at);
  std::vector<std::string> violations;
  CheckExclusiveOwnership(runs, violations);
  std::map<std::string, std::vector<const SoakRun*>> by_request;
  for (const SoakRun& run : runs) {
    by_request[run.m_request].push_back(&run);
    if (run.m_received_api_key || run.m_workspace != "w") {
      violations.push_back("API key or workspace at a server: " +
                           run.m_request);
    }
  }
  std::map<std::string, bool> sent;
  for (const SoakExchange& exchange : exchanges) {
    sent[exchange.m_request] = true;
    CheckRequest(exchange, by_request[exchange.m_request], withdrawals,
                 violations);
  }
  for (const auto& [request, request_runs] : by_request) {
    if (!request_runs.empty() && !sent[request]) {
      violations.push_back("ran without a request: " + request);
    }
  }
  return violations;
}

}  // namespace foxtail
