#include "comfrey-load/caller.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace comfrey::load {

namespace {

constexpr auto kReadTimeout = std::chrono::milliseconds(15000);
constexpr int kOk = 200;

double millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::string errorCode(const std::string &body)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("error") || !answer.at("error").is_object())
        return "none";
    const nlohmann::json &code = answer.at("error").value("code", nlohmann::json());
    return code.is_string() ? code.get<std::string>() : code.dump();
}

void readHeaders(const httplib::Response &response, Sample &sample)
{
    sample.status = response.status;
    sample.outcome = response.get_header_value("X-Comfrey-Outcome");
    sample.id = response.get_header_value("X-Request-Id");
}

SampleEnd endOf(const AnswerCheck &check, httplib::Error error)
{
    if (check.fault() == AnswerFault::Foreign)
        return SampleEnd::Foreign;
    if (check.fault() == AnswerFault::Wrong)
        return SampleEnd::Wrong;
    if (check.isWhole())
        return SampleEnd::Answered;
    if (!check.errorCode().empty())
        return SampleEnd::Failed;
    return error == httplib::Error::Success ? SampleEnd::Short : SampleEnd::Broken;
}

void readTimes(const AnswerCheck &check, SteadyTime planned, Sample &sample)
{
    if (check.tokens() == 0)
        return;
    sample.firstTokenMs = millisecondsBetween(planned, check.firstToken());
    sample.longestGapMs = check.longestGapMs();
    if (check.tokens() > 1)
        sample.meanGapMs =
            millisecondsBetween(check.firstToken(), check.lastToken()) / (check.tokens() - 1);
    sample.cachedTokens = check.cachedTokens();
}

} // namespace

Sample Caller::run(const PlannedRequest &request, SteadyTime planned) const
{
    Sample sample;
    switch (request.kind) {
    case PlannedKind::Chat:
        sample = sendChat(request, planned);
        break;
    case PlannedKind::ServiceCall:
        sample = callService(request, planned);
        break;
    case PlannedKind::Crashing:
        sample = sendCrashing(request, planned);
        break;
    }
    sample.request = &request;
    sample.totalMs = millisecondsBetween(planned, std::chrono::steady_clock::now());
    return sample;
}

httplib::Request Caller::chatRequest(const PlannedRequest &request) const
{
    httplib::Request result;
    result.method = "POST";
    result.path = "/v1/chat/completions";
    const std::string &key = m_workload.organisations[request.organisation].key;
    result.headers = {{"Authorization", "Bearer " + key},
                      {"X-Chat-Id", request.chat},
                      {"Content-Type", "application/json"}};
    result.body = request.body;
    return result;
}

Sample Caller::sendChat(const PlannedRequest &request, SteadyTime planned) const
{
    Sample sample;
    AnswerCheck check(request.promptKey, request.answerTokens);
    std::string errorBody;
    httplib::Request http = chatRequest(request);
    if (request.isStreamed) {
        http.response_handler = [&](const httplib::Response &head) {
            readHeaders(head, sample);
            check.expectId(sample.id);
            return true;
        };
        http.content_receiver = [&](const char *data, std::size_t length, std::uint64_t,
                                    std::uint64_t) {
            if (sample.status == kOk)
                check.take({data, length}, std::chrono::steady_clock::now());
            else
                errorBody.append(data, length);
            return true;
        };
    }
    httplib::Response response;
    const httplib::Error error = m_balancer.send(http, response, kReadTimeout);
    if (!request.isStreamed && error == httplib::Error::Success) {
        readHeaders(response, sample);
        check.expectId(sample.id);
        errorBody = response.body;
        if (sample.status == kOk)
            check.takeWhole(response.body, std::chrono::steady_clock::now());
    }
    sample.end = endOf(check, error);
    sample.code = check.errorCode();
    if (sample.status != 0 && sample.status != kOk) {
        sample.end = SampleEnd::Refused;
        sample.code = errorCode(errorBody);
    }
    readTimes(check, planned, sample);
    return sample;
}

void Caller::sendServiceCall(const PlannedRequest &request, Sample &sample) const
{
    httplib::Request http;
    http.method = "POST";
    http.path = "/v1/services/" + m_workload.serviceLoads[request.service].name + "/dispatch";
    const std::string &key = m_workload.organisations[request.organisation].key;
    http.headers = {{"Authorization", "Bearer " + key},
                    {"Idempotency-Key", request.idempotencyKey},
                    {"Content-Type", "application/json"}};
    http.body = R"({"call":")" + request.idempotencyKey + "\"}";
    httplib::Response response;
    const httplib::Error error = m_balancer.send(http, response, kReadTimeout);
    if (error == httplib::Error::Connection)
        return;
    readHeaders(response, sample);
    if (error != httplib::Error::Success)
        sample.outcome = "none";
    sample.wasAnswered = sample.wasAnswered || sample.outcome == "answered";
    sample.mayHaveRun = sample.mayHaveRun || sample.outcome != "not-run";
    if (error == httplib::Error::Success && sample.status != kOk)
        sample.code = errorCode(response.body);
}

Sample Caller::callService(const PlannedRequest &request, SteadyTime) const
{
    const ServiceLoad &service = m_workload.serviceLoads[request.service];
    const std::chrono::duration<double> pause(service.resendAfterSeconds * m_timeScale);
    Sample sample;
    sendServiceCall(request, sample);
    while (!sample.wasAnswered && sample.sends <= service.resends) {
        std::this_thread::sleep_for(pause);
        ++sample.sends;
        sendServiceCall(request, sample);
    }
    if (sample.wasAnswered)
        sample.end = SampleEnd::Answered;
    else
        sample.end = sample.outcome == "not-run" ? SampleEnd::Refused : SampleEnd::Broken;
    return sample;
}

Sample Caller::sendCrashing(const PlannedRequest &request, SteadyTime) const
{
    Sample sample;
    for (sample.sends = 1;; ++sample.sends) {
        httplib::Request http = chatRequest(request);
        httplib::Response response;
        const httplib::Error error = m_balancer.send(http, response, kReadTimeout);
        if (error == httplib::Error::Success) {
            readHeaders(response, sample);
            sample.code = errorCode(response.body);
            sample.end = SampleEnd::Refused;
        }
        if (sample.sends > m_workload.crashing.resends)
            return sample;
        std::this_thread::sleep_for(std::chrono::duration<double>(m_timeScale));
    }
}

} // namespace comfrey::load
