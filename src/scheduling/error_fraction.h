#pragma once

#include "core/time.h"

namespace foxtail {

/// Smoothed fraction of a server's responses that were errors. Fades without
/// responses, so that a server that has recovered is tried again.
class ErrorFraction {
 public:
  void Add(bool is_error, TimePoint now);
  double Get(TimePoint now) const;

 private:
  double m_fraction = 0;
  TimePoint m_updated_at;
};

}  // namespace foxtail
