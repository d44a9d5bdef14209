// What callers of a small service get, by offered load: routers that place alone against one queue
// for all. bench_serviceload [SEEDS [svg]]: a table, or the plot of docs/design/small-services.md.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "support/servicepolicies.h"

using namespace comfrey;

namespace {

struct Point
{
    double perSecond = 0;
    double alone = 0; ///< Share on time, mean over the seeds.
    double queue = 0;
    double aloneServed = 0; ///< Share answered at all.
    double queueServed = 0;
};

template<typename Policy>
ServiceResult play(const ServiceLoad &load)
{
    Policy policy(load);
    return ServicePlay(load, policy).run();
}

Point measure(double perSecond, std::uint64_t seeds)
{
    Point point;
    point.perSecond = perSecond;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ServiceLoad load;
        load.perSecond = perSecond;
        load.seed = seed;
        const ServiceResult alone = play<AlonePolicy>(load);
        const ServiceResult queue = play<QueuePolicy>(load);
        const auto share = 1 / static_cast<double>(seeds);
        point.alone += alone.onTimeShare() * share;
        point.queue += queue.onTimeShare() * share;
        point.aloneServed += alone.servedShare() * share;
        point.queueServed += queue.servedShare() * share;
    }
    return point;
}

constexpr double kLeft = 60;
constexpr double kBottom = 260;
constexpr double kHeight = 240;
constexpr double kPixelsPerLoad = 1.2;
constexpr double kFirstLoad = 150;

double xOf(double perSecond)
{
    return kLeft + (perSecond - kFirstLoad) * kPixelsPerLoad;
}

double yOf(double share)
{
    // From a half to the whole.
    return kBottom - (share - 0.5) * 2 * kHeight;
}

void printLine(const std::vector<Point> &points, double Point::*share, const char *colour,
               const char *name, double nameY)
{
    std::printf("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", colour);
    for (const Point &point : points)
        std::printf("%.0f,%.0f ", xOf(point.perSecond), yOf(point.*share));
    std::printf("\"/>\n<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n",
                xOf(points.back().perSecond) + 12, nameY, colour, name);
}

void printPlot(const std::vector<Point> &points)
{
    std::puts("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"310\" "
              "font-family=\"sans-serif\" font-size=\"12\">\n"
              "<rect width=\"760\" height=\"310\" fill=\"white\"/>");
    std::printf("<line x1=\"%.0f\" y1=\"%.0f\" x2=\"%.0f\" y2=\"%.0f\" stroke=\"black\"/>\n", kLeft,
                kBottom, xOf(points.back().perSecond), kBottom);
    for (const double share : {0.5, 0.6, 0.7, 0.8, 0.9, 1.0})
        std::printf("<text x=\"24\" y=\"%.0f\">%.1f</text>\n", yOf(share) + 4, share);
    for (const Point &point : points)
        std::printf("<text x=\"%.0f\" y=\"%.0f\">%.0f</text>\n", xOf(point.perSecond) - 10,
                    kBottom + 18, point.perSecond);
    std::puts("<text x=\"200\" y=\"300\">requests a second (mean; swing 0.55)</text>\n"
              "<text x=\"6\" y=\"12\">share on time</text>");
    printLine(points, &Point::queue, "#1f4e9c", "one queue", 60);
    printLine(points, &Point::alone, "#c46a1b", "each router alone", 80);
    std::puts("</svg>");
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    std::vector<Point> points;
    for (const double perSecond : {150.0, 200.0, 250.0, 306.0, 350.0, 400.0, 450.0, 500.0})
        points.push_back(measure(perSecond, seeds == 0 ? 1 : seeds));
    if (argc > 2 && std::strcmp(argv[2], "svg") == 0) {
        printPlot(points);
        return 0;
    }
    std::puts("requests/s   alone: on time  served   one queue: on time  served");
    for (const Point &point : points)
        std::printf("%10.0f %16.3f %7.3f %20.3f %7.3f\n", point.perSecond, point.alone,
                    point.aloneServed, point.queue, point.queueServed);
    return 0;
}
