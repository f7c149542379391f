#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/time.h"

namespace foxtail {

/// Counters and latencies of one thread, with a bounded number of series.
class Metrics {
 public:
  /// `series_limit` is the maximum number of label values per metric; further
  /// values are aggregated under the label "other".
  explicit Metrics(size_t series_limit = 256);
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to the counter `name` with the label `label_name="label"`.
  void Count(const std::string& name,
             const std::string& label_name,
             const std::string& label,
             uint64_t amount = 1);

  /// Adds a latency to the summary `name`, in seconds.
  void Observe(const std::string& name,
               const std::string& label_name,
               const std::string& label,
               Duration latency);

  /// Returns all series in the Prometheus text exposition format.
  std::string Text() const;

 private:
  struct Latency;
  using Key = std::pair<std::string, std::string>;

  template <typename Series>
  const std::string& LimitLabel(const Series& series,
                                const std::string& name,
                                const std::string& label) const;

  size_t m_series_limit;
  std::map<std::string, std::string> m_label_names;
  std::map<std::string, std::map<std::string, uint64_t>> m_counters;
  std::map<std::string, std::map<std::string, std::unique_ptr<Latency>>>
      m_latencies;
};

}  // namespace foxtail
