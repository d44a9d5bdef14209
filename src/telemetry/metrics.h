// Counters and latency histograms in the text format that Prometheus reads.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "comfrey/units.h"

namespace comfrey {

/// Latencies in buckets of doubling width.
class LatencyHistogram
{
public:
    void add(Duration latency);
    void print(std::string &out, const std::string &name, const std::string &labels) const;

private:
    static constexpr std::size_t kBuckets = 16; ///< Upper bounds 1 ms, 2 ms, ... 32.8 s.

    std::array<std::uint64_t, kBuckets + 1> m_counts{}; ///< The last one has no bound.
    std::uint64_t m_count = 0;
    Duration m_sum{0};
};

class Metrics
{
public:
    /// `labels` as the format wants them, such as route="r1"; may be empty.
    void count(const std::string &name, const std::string &labels = {}, std::uint64_t by = 1)
    {
        m_counters[name][labels] += by;
    }
    void observe(const std::string &name, const std::string &labels, Duration latency)
    {
        m_histograms[name][labels].add(latency);
    }
    void set(const std::string &name, double value) { m_gauges[name] = value; }

    std::string text() const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
    std::map<std::string, std::map<std::string, LatencyHistogram>> m_histograms;
    std::map<std::string, double> m_gauges;
};

} // namespace comfrey
