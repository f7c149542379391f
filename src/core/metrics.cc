#include "core/metrics.h"

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace foxtail {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};

const std::string& OtherLabel() {
  static const std::string label = "other";
  return label;
}

using Accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

std::string EscapeLabel(const std::string& label) {
  std::string text;
  for (const char c : label) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c == '\n' ? ' ' : c;
  }
  return text;
}

}  // namespace

struct Metrics::Latency {
  Accumulator m_values{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics(size_t series_limit) : m_series_limit(series_limit) {}

Metrics::~Metrics() = default;

template <typename Series>
const std::string& Metrics::LimitLabel(const Series& series,
                                       const std::string& name,
                                       const std::string& label) const {
  const auto found = series.find(name);
  const bool limit_reached = found != series.end() &&
                             !found->second.contains(label) &&
                             found->second.size() >= m_series_limit;
  return limit_reached ? OtherLabel() : label;
}

void Metrics::Count(const std::string& name,
                    const std::string& label_name,
                    const std::string& label,
                    uint64_t amount) {
  m_label_names[name] = label_name;
  m_counters[name][LimitLabel(m_counters, name, label)] += amount;
}

void Metrics::Observe(const std::string& name,
                      const std::string& label_name,
                      const std::string& label,
                      Duration latency) {
  m_label_names[name] = label_name;
  auto& series = m_latencies[name][LimitLabel(m_latencies, name, label)];
  if (!series) {
    series = std::make_unique<Latency>();
  }
  series->m_values(ToSeconds(latency));
}

std::string Metrics::Text() const {
  std::string text;
  for (const auto& [name, series] : m_counters) {
    text += fmt::format("# TYPE {} counter\n", name);
    for (const auto& [label, count] : series) {
      text += fmt::format("{}{{{}=\"{}\"}} {}\n", name, m_label_names.at(name),
                          EscapeLabel(label), count);
    }
  }
  for (const auto& [name, series] : m_latencies) {
    text += fmt::format("# TYPE {} summary\n", name);
    for (const auto& [label, latency] : series) {
      const std::string labels =
          fmt::format("{}=\"{}\"", m_label_names.at(name), EscapeLabel(label));
      for (size_t i = 0; i < kQuantiles.size(); ++i) {
        text += fmt::format("{}{{{},quantile=\"{}\"}} {:.6f}\n", name, labels,
                            kQuantiles[i],
                            acc::extended_p_square(latency->m_values)[i]);
      }
      text += fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels,
                          acc::sum(latency->m_values));
      text += fmt::format("{}_count{{{}}} {}\n", name, labels,
                          acc::count(latency->m_values));
    }
  }
  return text;
}

}  // namespace foxtail
