#include "gateway/speed_estimate.h"

#include <algorithm>

namespace foxtail {
namespace {

// Older answers count for no more than this many, so that a server that has
// become faster or slower shows.
constexpr double kMemory = 25;

// Answers that what is otherwise known stands for. The time of one request
// varies as much as its mean; the slowdown that servers tell varies less.
constexpr double kUsualSecondsWeight = 8;
constexpr double kUsualSlowdownWeight = 2;

double Blend(double known, double weight, double measured, double answers) {
  return (known * weight + measured * answers) / (weight + answers);
}

}  // namespace

void SpeedEstimate::Add(double answers, double seconds, double slowdown) {
  if (answers <= 0) {
    return;
  }
  m_answers = std::min(m_answers + answers, kMemory);
  const double gain = std::min(1.0, answers / m_answers);
  m_seconds += gain * (seconds - m_seconds);
  m_slowdown += gain * (slowdown - m_slowdown);
}

double SpeedEstimate::ExpectedSeconds(const SpeedEstimate& usual) const {
  if (m_answers <= 0) {
    return usual.m_seconds;
  }
  double expected = usual.m_seconds;
  if (m_slowdown > 0 && usual.m_slowdown > 0) {
    expected *=
        Blend(usual.m_slowdown, kUsualSlowdownWeight, m_slowdown, m_answers) /
        usual.m_slowdown;
  }
  return Blend(expected, kUsualSecondsWeight, m_seconds, m_answers);
}

}  // namespace foxtail
