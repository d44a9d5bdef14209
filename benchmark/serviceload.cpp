// Share of a small service's requests answered on time, by offered load: each router choosing
// servers alone, compared with one shared queue. Usage: bench_serviceload [SEEDS [svg]]; prints a
// table, or the plot of docs/design/small-services.md.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "support/servicepolicies.h"

using namespace comfrey;

namespace {

/// Results for one offered load.
struct Point
{
    double requestsPerSecond = 0;
    double localOnTime = 0; ///< Share answered on time, mean over the seeds.
    double sharedOnTime = 0;
    double localServed = 0; ///< Share answered before the caller left.
    double sharedServed = 0;
};

template<typename Policy>
ServiceSimulationResult simulate(const ServiceSimulationConfig &config)
{
    Policy policy(config);
    return ServiceQueueSimulation(config, policy).run();
}

Point measure(double requestsPerSecond, std::uint64_t seeds)
{
    Point point;
    point.requestsPerSecond = requestsPerSecond;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ServiceSimulationConfig config;
        config.requestsPerSecond = requestsPerSecond;
        config.seed = seed;
        const ServiceSimulationResult local = simulate<LocalPlacementPolicy>(config);
        const ServiceSimulationResult shared = simulate<SharedQueuePolicy>(config);
        const auto share = 1 / static_cast<double>(seeds);
        point.localOnTime += local.onTimeShare() * share;
        point.sharedOnTime += shared.onTimeShare() * share;
        point.localServed += local.servedShare() * share;
        point.sharedServed += shared.servedShare() * share;
    }
    return point;
}

constexpr double kLeft = 60;
constexpr double kBottom = 260;
constexpr double kHeight = 240;
constexpr double kPixelsPerRequestRate = 1.2;
constexpr double kMinRequestRate = 150;

double xOf(double requestsPerSecond)
{
    return kLeft + (requestsPerSecond - kMinRequestRate) * kPixelsPerRequestRate;
}

double yOf(double share)
{
    // The axis runs from 0.5 to 1.
    return kBottom - (share - 0.5) * 2 * kHeight;
}

void printLine(const std::vector<Point> &points, double Point::*share, const char *colour,
               const char *name, double nameY)
{
    std::printf("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", colour);
    for (const Point &point : points)
        std::printf("%.0f,%.0f ", xOf(point.requestsPerSecond), yOf(point.*share));
    std::printf("\"/>\n<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n",
                xOf(points.back().requestsPerSecond) + 12, nameY, colour, name);
}

void printPlot(const std::vector<Point> &points)
{
    std::puts("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"310\" "
              "font-family=\"sans-serif\" font-size=\"12\">\n"
              "<rect width=\"760\" height=\"310\" fill=\"white\"/>");
    std::printf("<line x1=\"%.0f\" y1=\"%.0f\" x2=\"%.0f\" y2=\"%.0f\" stroke=\"black\"/>\n", kLeft,
                kBottom, xOf(points.back().requestsPerSecond), kBottom);
    for (const double share : {0.5, 0.6, 0.7, 0.8, 0.9, 1.0})
        std::printf("<text x=\"24\" y=\"%.0f\">%.1f</text>\n", yOf(share) + 4, share);
    for (const Point &point : points)
        std::printf("<text x=\"%.0f\" y=\"%.0f\">%.0f</text>\n", xOf(point.requestsPerSecond) - 10,
                    kBottom + 18, point.requestsPerSecond);
    std::puts("<text x=\"200\" y=\"300\">requests a second (mean; swing 0.55)</text>\n"
              "<text x=\"6\" y=\"12\">share on time</text>");
    printLine(points, &Point::sharedOnTime, "#1f4e9c", "one queue", 60);
    printLine(points, &Point::localOnTime, "#c46a1b", "each router alone", 80);
    std::puts("</svg>");
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    std::vector<Point> points;
    for (const double requestsPerSecond : {150.0, 200.0, 250.0, 306.0, 350.0, 400.0, 450.0, 500.0})
        points.push_back(measure(requestsPerSecond, seeds == 0 ? 1 : seeds));
    if (argc > 2 && std::strcmp(argv[2], "svg") == 0) {
        printPlot(points);
        return 0;
    }
    std::puts("requests/s   alone: on time  served   one queue: on time  served");
    for (const Point &point : points)
        std::printf("%10.0f %16.3f %7.3f %20.3f %7.3f\n", point.requestsPerSecond,
                    point.localOnTime, point.localServed, point.sharedOnTime, point.sharedServed);
    return 0;
}
