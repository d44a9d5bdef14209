#include "comfrey-load/faultinjector.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <thread>

#include <glog/logging.h>

#include "common/httpclient.h"

namespace comfrey::load {

namespace {

std::size_t countOf(double share, std::size_t all)
{
    return static_cast<std::size_t>(std::lround(share * static_cast<double>(all)));
}

nlohmann::json readInstances(const Endpoint &platform)
{
    const auto client = makeHttpClient(platform, HttpClientOptions());
    const httplib::Result result = client->Get("/instances");
    nlohmann::json engines = nlohmann::json::array();
    if (!result)
        return engines;
    const nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
    for (const nlohmann::json &instance : answer.value("instances", nlohmann::json::array())) {
        if (instance.value("kind", "") == "engine")
            engines.push_back(instance);
    }
    return engines;
}

} // namespace

FaultInjector::FaultInjector(const Workload &workload, const FaultTargets &targets,
                             std::uint64_t seed)
{
    for (const FaultPlan &plan : workload.faults) {
        if (plan.target == FaultTarget::Instances)
            addInstances(plan, targets.platform, seed);
        else
            addPlan(plan, targets, seed);
    }
    std::stable_sort(m_steps.begin(), m_steps.end(),
                     [](const Step &left, const Step &right) { return left.at < right.at; });
}

void FaultInjector::addPlan(const FaultPlan &plan, const FaultTargets &targets, std::uint64_t seed)
{
    std::vector<Endpoint> addresses;
    if (plan.target == FaultTarget::Platform)
        addresses = {targets.platform};
    else
        addresses = plan.target == FaultTarget::Engines ? targets.engines : targets.services;
    std::shuffle(addresses.begin(), addresses.end(), std::mt19937_64(seed));
    addresses.resize(countOf(plan.share, addresses.size()));
    for (const Endpoint &address : addresses)
        addPeriods(plan, {0, address, "PUT", "/faults", plan.on},
                   {0, address, "PUT", "/faults", plan.off});
}

void FaultInjector::addInstances(const FaultPlan &plan, const Endpoint &platform,
                                 std::uint64_t seed)
{
    nlohmann::json instances = readInstances(platform);
    std::shuffle(instances.begin(), instances.end(), std::mt19937_64(seed));
    const std::size_t count = countOf(plan.share, instances.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::string path = "/instances/" + instances[i].at("id").get<std::string>();
        addPeriods(plan, {0, platform, "DELETE", path, ""},
                   {0, platform, "PUT", path, instances[i].dump()});
    }
}

void FaultInjector::addPeriods(const FaultPlan &plan, const Step &on, const Step &off)
{
    const double end = plan.at + plan.seconds;
    const double period = plan.periodSeconds > 0 ? plan.periodSeconds : plan.seconds;
    for (double at = plan.at; at < end; at += 2 * period) {
        m_steps.push_back(on);
        m_steps.back().at = at;
        m_steps.push_back(off);
        m_steps.back().at = std::min(end, at + period);
    }
}

void FaultInjector::apply(const Step &step)
{
    const auto client = makeHttpClient(step.address, HttpClientOptions());
    httplib::Request request;
    request.method = step.method;
    request.path = step.path;
    request.body = step.body;
    request.headers = {{"Content-Type", "application/json"}};
    const httplib::Result result = client->send(request);
    if (!result || result->status != 200)
        LOG(WARNING) << "event=fault-not-set address=" << step.address.value();
}

void FaultInjector::run(SteadyTime start, double timeScale) const
{
    for (const Step &step : m_steps) {
        const std::chrono::duration<double> after(step.at * timeScale);
        std::this_thread::sleep_until(start
                                      + std::chrono::duration_cast<SteadyTime::duration>(after));
        apply(step);
    }
}

} // namespace comfrey::load
