// The table of all settings.
#include "settings/settingstable.h"

#include <utility>

namespace comfrey {

namespace {

using namespace settings;

constexpr std::uint32_t kMinuteMs = 60000;
constexpr std::uint32_t kHourMs = 60 * kMinuteMs;
constexpr std::uint32_t kDayMs = 24 * kHourMs;

template<auto Section, auto Field>
auto &fieldOf(Settings &all)
{
    return (all.*Section).*Field;
}

template<auto Section, auto Field>
TextSetting text(TextForm form, std::string byDefault = "", std::vector<std::string> choices = {})
{
    return {&fieldOf<Section, Field>, form, std::move(byDefault), std::move(choices)};
}

template<auto Section, auto Field>
CountSetting count(std::uint32_t lowest, std::uint32_t highest)
{
    return {&fieldOf<Section, Field>, lowest, highest};
}

template<auto Section, auto Field>
RatioSetting ratio(float lowest, float highest)
{
    return {&fieldOf<Section, Field>, lowest, highest};
}

using Table = std::vector<SettingDescriptor>;

void appendRouter(Table &table)
{
    constexpr auto section = &Settings::router;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"router", key, unit, std::move(kind), meaning});
    };
    add("id", "", text<section, &RouterT::id>(TextForm::Id),
        "Name of this router, unique in the fleet.");
    add("zone", "", text<section, &RouterT::zone>(TextForm::Id), "Availability zone it runs in.");
    add("region", "", text<section, &RouterT::region>(TextForm::Id, "default"),
        "Region of the zone.");
    add("caller_address", "IP:port", text<section, &RouterT::callerAddress>(TextForm::Address),
        "Where callers connect.");
    add("operator_address", "IP:port", text<section, &RouterT::operatorAddress>(TextForm::Address),
        "Where operators connect: health, metrics and dumps.");
    add("peer_address", "IP:port", text<section, &RouterT::peerAddress>(TextForm::Address),
        "Where other routers connect.");
    add("traffic_threads", "threads", count<section, &RouterT::trafficThreads>(4, 4096),
        "Callers' connections that are served at once.");
    add("stop_limit_ms", "ms", count<section, &RouterT::stopLimitMs>(100, kHourMs),
        "Longest that a graceful stop waits for requests in flight.");
    add("max_body_bytes", "bytes", count<section, &RouterT::maxBodyBytes>(1024, 67108864),
        "Largest request body; a larger one is answered with 413.");
    add("memory_mb", "MiB", count<section, &RouterT::memoryMb>(32, 1048576),
        "Memory of this process; half of it may be held for callers and back ends.");
}

void appendPlatform(Table &table)
{
    constexpr auto section = &Settings::platform;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"platform", key, unit, std::move(kind), meaning});
    };
    add("address", "IP:port", text<section, &PlatformT::address>(TextForm::Address),
        "The platform's HTTP interface: log, instances, weights.");
    add("instance_list_interval_ms", "ms",
        count<section, &PlatformT::instanceListIntervalMs>(50, kMinuteMs),
        "Time between two reads of the list of instances.");
    add("request_timeout_ms", "ms", count<section, &PlatformT::requestTimeoutMs>(50, kMinuteMs),
        "Until a call to the platform counts as lost.");
}

void appendConfig(Table &table)
{
    constexpr auto section = &Settings::config;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"config", key, unit, std::move(kind), meaning});
    };
    add("tailing_routers", "routers", count<section, &ConfigT::tailingRouters>(1, 64),
        "Routers that read the stream \"config\" themselves; the others hear from them.");
    add("silence_limit_ms", "ms", count<section, &ConfigT::silenceLimitMs>(100, kMinuteMs),
        "Without news from another router for this long, a router reads the stream itself.");
    add("poll_interval_ms", "ms", count<section, &ConfigT::pollIntervalMs>(10, kMinuteMs),
        "Time between two reads of the stream after one failed or brought nothing.");
    add("snapshot_interval_records", "records",
        count<section, &ConfigT::snapshotIntervalRecords>(1, 100000),
        "A snapshot is appended after this many records.");
    add("snapshot_max_age_ms", "ms", count<section, &ConfigT::snapshotMaxAgeMs>(1000, kHourMs),
        "A snapshot is appended after this time; far below the time that the log keeps a record.");
}

void appendMembership(Table &table)
{
    constexpr auto section = &Settings::membership;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"membership", key, unit, std::move(kind), meaning});
    };
    add("heartbeat_interval_ms", "ms",
        count<section, &MembershipT::heartbeatIntervalMs>(20, kMinuteMs),
        "Time between two heartbeats of a router.");
    add("gossip_fanout", "routers", count<section, &MembershipT::gossipFanout>(1, 16),
        "Routers that one heartbeat is sent to.");
    add("suspect_after_ms", "ms", count<section, &MembershipT::suspectAfterMs>(100, kHourMs),
        "Silence after which a router is suspect.");
    add("remove_after_ms", "ms", count<section, &MembershipT::removeAfterMs>(200, kHourMs),
        "Silence after which a router no longer counts.");
    add("join_ramp_ms", "ms", count<section, &MembershipT::joinRampMs>(0, kHourMs),
        "Time in which a new back end's share of the load grows to the whole.");
}

void appendPlacement(Table &table)
{
    constexpr auto section = &Settings::placement;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"placement", key, unit, std::move(kind), meaning});
    };
    add("policy", "",
        text<section, &PlacementT::policy>(TextForm::Choice, "bounded-affinity",
                                           {"bounded-affinity", "hash-only", "round-robin",
                                            "random", "p2c", "least-reported-load"}),
        "How an engine is chosen for a chat.");
    add("load_multiple", "", ratio<section, &PlacementT::loadMultiple>(1.0F, 10.0F),
        "No engine carries more than this multiple of the mean load.");
    add("slot_ask_timeout_ms", "ms", count<section, &PlacementT::slotAskTimeoutMs>(1, 10000),
        "Longest wait for an engine's home router to grant a slot.");
    add("moved_chats_kept", "chats", count<section, &PlacementT::movedChatsKept>(0, 10000000),
        "Chats off their first engine whose place is remembered.");
    add("probe_interval_ms", "ms", count<section, &PlacementT::probeIntervalMs>(10, kMinuteMs),
        "Time between two probes of an engine by its home router.");
    add("slot_renew_ms", "ms", count<section, &PlacementT::slotRenewMs>(100, kHourMs),
        "A router names the slots it holds this often; they end after three times as long.");
    add("takeover_limit_ms", "ms", count<section, &PlacementT::takeoverLimitMs>(0, kMinuteMs),
        "Longest wait of a new home router for the other routers' holdings.");
    add("engine_queue", "share", ratio<section, &PlacementT::engineQueue>(0.0F, 10.0F),
        "Requests that may wait on an engine, as a share of its slots.");
    add("spill_asks", "engines", count<section, &PlacementT::spillAsks>(1, 100),
        "Engines that are asked at once after the first one was full.");
    add("max_asks", "engines", count<section, &PlacementT::maxAsks>(1, 1000),
        "Engines that one request may wait for.");
    add("kv_import_tokens", "tokens", count<section, &PlacementT::kvImportTokens>(1, 10000000),
        "Prompts of this length or more import their KV cache when they are moved.");
}

void appendAdmission(Table &table)
{
    constexpr auto section = &Settings::admission;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"admission", key, unit, std::move(kind), meaning});
    };
    add("queue_limit", "requests", count<section, &AdmissionT::queueLimit>(0, 1000000),
        "Requests that wait in this router at once; more are refused.");
    add("short_reserve", "share", ratio<section, &AdmissionT::shortReserve>(0.0F, 0.9F),
        "Share of an engine's slots that long work may not use.");
    add("long_output_tokens", "tokens", count<section, &AdmissionT::longOutputTokens>(1, 1000000),
        "Work that has generated this many tokens counts as long.");
    add("request_timeout_ms", "ms", count<section, &AdmissionT::requestTimeoutMs>(100, kHourMs),
        "Longest time of a chat request that states none itself.");
    add("search_window", "requests", count<section, &AdmissionT::searchWindow>(1, 10000),
        "Requests over their customer's share that may wait for slots at once, by model.");
    add("long_wait_factor", "", ratio<section, &AdmissionT::longWaitFactor>(1.0F, 1000.0F),
        "Long work may wait this many times its contracted time to the first token.");
    add("share_reserve", "share", ratio<section, &AdmissionT::shareReserve>(0.0F, 0.9F),
        "Part of the engines' slots that work over its customer's share leaves free.");
}

void appendHealth(Table &table)
{
    constexpr auto section = &Settings::health;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"health", key, unit, std::move(kind), meaning});
    };
    add("eject_ratio", "", ratio<section, &HealthT::ejectRatio>(1.1F, 100.0F),
        "An engine slower than the median of the others by this ratio is ejected.");
    add("max_ejected", "share", ratio<section, &HealthT::maxEjected>(0.0F, 1.0F),
        "Most engines of a model that are ejected at once.");
    add("hedge_quantile", "quantile", ratio<section, &HealthT::hedgeQuantile>(0.5F, 0.9999F),
        "A request without its first token by this quantile is sent to a second engine.");
    add("hedge_budget", "share", ratio<section, &HealthT::hedgeBudget>(0.0F, 1.0F),
        "Hedges, as a share of requests.");
    add("retry_budget", "share", ratio<section, &HealthT::retryBudget>(0.0F, 1.0F),
        "Retries, as a share of requests of a plan.");
    add("eject_ms", "ms", count<section, &HealthT::ejectMs>(1, kHourMs),
        "First ejection of an engine; doubled up to eight times while it recurs.");
    add("return_ramp_ms", "ms", count<section, &HealthT::returnRampMs>(1, kHourMs),
        "Time in which an ejected engine gets a growing part of its load.");
}

void appendQuarantine(Table &table)
{
    constexpr auto section = &Settings::quarantine;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"quarantine", key, unit, std::move(kind), meaning});
    };
    add("crash_limit", "back ends", count<section, &QuarantineT::crashLimit>(1, 100),
        "A request that crashed this many back ends is refused everywhere.");
    add("term_ms", "ms", count<section, &QuarantineT::termMs>(1000, kDayMs),
        "How long it is refused.");
}

void appendOutcome(Table &table)
{
    constexpr auto section = &Settings::outcome;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"outcome", key, unit, std::move(kind), meaning});
    };
    add("partitions", "streams", count<section, &OutcomeT::partitions>(1, 1024),
        "Streams of the log that hold claims; the same on every router, for good.");
    add("collect_interval_ms", "ms", count<section, &OutcomeT::collectIntervalMs>(1, 10000),
        "Claims of a partition are gathered for this long into one append.");
    add("key_lifetime_ms", "ms", count<section, &OutcomeT::keyLifetimeMs>(1000, kDayMs),
        "How long an idempotency key may be used; below the time that the log keeps a record.");
    add("service_timeout_ms", "ms", count<section, &OutcomeT::serviceTimeoutMs>(10, kHourMs),
        "Until a service call without an answer ends as unknown.");
    add("claim_timeout_ms", "ms", count<section, &OutcomeT::claimTimeoutMs>(10, kHourMs),
        "Until a call whose claim is not decided is given up.");
    add("max_recorded_body_bytes", "bytes",
        count<section, &OutcomeT::maxRecordedBodyBytes>(0, 1048576),
        "Longest answer that is recorded for repeats of its call.");
    add("opaque_keys_kept", "keys", count<section, &OutcomeT::opaqueKeysKept>(1, 100000000),
        "Keys without a time of issue that a partition remembers.");
}

void appendOrders(Table &table)
{
    constexpr auto section = &Settings::orders;
    const auto add = [&table](const char *key, const char *unit, auto kind, const char *meaning) {
        table.push_back({"orders", key, unit, std::move(kind), meaning});
    };
    add("max_changing_share", "share", ratio<section, &OrdersT::maxChangingShare>(0.01F, 1.0F),
        "Most engines of a model that change at once.");
    add("weight_fetches_per_minute", "fetches",
        count<section, &OrdersT::weightFetchesPerMinute>(1, 100000),
        "Fetches from the weight store over the whole fleet.");
}

Table makeTable()
{
    Table table;
    appendRouter(table);
    appendPlatform(table);
    appendConfig(table);
    appendMembership(table);
    appendPlacement(table);
    appendAdmission(table);
    appendHealth(table);
    appendQuarantine(table);
    appendOutcome(table);
    appendOrders(table);
    return table;
}

} // namespace

const std::vector<SettingDescriptor> &settingsTable()
{
    static const Table table = makeTable();
    return table;
}

} // namespace comfrey
