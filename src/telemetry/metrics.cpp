// Prints metrics.
#include "telemetry/metrics.h"

namespace comfrey {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

} // namespace

void LatencyHistogram::add(Duration latency)
{
    std::size_t bucket = 0;
    while (bucket < kBuckets && latency > milliseconds(1LL << bucket))
        ++bucket;
    ++m_counts[bucket];
    ++m_count;
    m_sum += latency;
}

void LatencyHistogram::print(std::string &out, const std::string &name,
                             const std::string &labels) const
{
    const std::string before = labels.empty() ? "" : labels + ",";
    std::uint64_t cumulated = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
        cumulated += m_counts[bucket];
        const double bound = static_cast<double>(1ULL << bucket) / 1000;
        out += name + "_bucket{" + before + "le=\"" + std::to_string(bound) + "\"} "
            + std::to_string(cumulated) + '\n';
    }
    out += name + "_bucket{" + before + "le=\"+Inf\"} " + std::to_string(m_count) + '\n';
    out += name + "_sum" + braced(labels) + ' '
        + std::to_string(static_cast<double>(m_sum.count()) / kMicrosecondsPerSecond) + '\n';
    out += name + "_count" + braced(labels) + ' ' + std::to_string(m_count) + '\n';
}

std::string Metrics::text() const
{
    std::string out;
    for (const auto &[name, values] : m_counters) {
        out += "# TYPE " + name + " counter\n";
        for (const auto &[labels, value] : values)
            out += name + braced(labels) + ' ' + std::to_string(value) + '\n';
    }
    for (const auto &[name, values] : m_histograms) {
        out += "# TYPE " + name + " histogram\n";
        for (const auto &[labels, histogram] : values)
            histogram.print(out, name, labels);
    }
    for (const auto &[name, value] : m_gauges)
        out += "# TYPE " + name + " gauge\n" + name + ' ' + std::to_string(value) + '\n';
    return out;
}

} // namespace comfrey
