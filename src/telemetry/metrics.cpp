// Prints metrics.
#include "telemetry/metrics.h"

namespace comfrey {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMillisecondsPerSecond = 1e3;

void appendLine(std::string &out, const std::string &name, const std::string &labels,
                const std::string &value)
{
    out += name;
    if (!labels.empty()) {
        out += '{';
        out += labels;
        out += '}';
    }
    out += ' ';
    out += value;
    out += '\n';
}

void appendType(std::string &out, const std::string &name, const char *type)
{
    out += "# TYPE ";
    out += name;
    out += ' ';
    out += type;
    out += '\n';
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
    const auto bucketLine = [&](const std::string &bound, std::uint64_t count) {
        appendLine(out, name + "_bucket", before + "le=\"" + bound + "\"", std::to_string(count));
    };
    std::uint64_t cumulated = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
        cumulated += m_counts[bucket];
        bucketLine(std::to_string(static_cast<double>(1ULL << bucket) / kMillisecondsPerSecond),
                   cumulated);
    }
    bucketLine("+Inf", m_count);
    const double seconds = static_cast<double>(m_sum.count()) / kMicrosecondsPerSecond;
    appendLine(out, name + "_sum", labels, std::to_string(seconds));
    appendLine(out, name + "_count", labels, std::to_string(m_count));
}

std::string Metrics::text() const
{
    std::string out;
    for (const auto &[name, values] : m_counters) {
        appendType(out, name, "counter");
        for (const auto &[labels, value] : values)
            appendLine(out, name, labels, std::to_string(value));
    }
    for (const auto &[name, values] : m_histograms) {
        appendType(out, name, "histogram");
        for (const auto &[labels, histogram] : values)
            histogram.print(out, name, labels);
    }
    for (const auto &[name, value] : m_gauges) {
        appendType(out, name, "gauge");
        appendLine(out, name, {}, std::to_string(value));
    }
    return out;
}

} // namespace comfrey
