#include "protocol/vm_message.h"

#include "protocol/stage.capnp.h"
#include "state/number_range.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

namespace zinnianotch
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;

// Clamps to the range of the 32-bit fields.
std::int32_t clamp_to_int32(milliseconds time)
{
    using limits = std::numeric_limits<std::int32_t>;
    return static_cast<std::int32_t>(
        std::max<std::int64_t>(limits::min(), std::min<std::int64_t>(limits::max(), time.count())));
}

std::string to_text(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

template <typename Builder>
void write_texts(Builder list, const std::vector<std::string>& texts)
{
    for (std::size_t i = 0; i < texts.size(); ++i)
        list.set(static_cast<capnp::uint>(i), texts[i]);
}

std::vector<std::string> read_texts(capnp::List<capnp::Text>::Reader list)
{
    std::vector<std::string> texts;
    for (const auto text : list)
        texts.push_back(to_text(text));
    return texts;
}

// Converts a number from the wire; throws kj::Exception if it is greater than `last`.
template <typename Enum>
Enum to_enum(std::uint8_t number, Enum last)
{
    KJ_REQUIRE(number <= static_cast<std::uint8_t>(last),
               "unknown enumeration value in a VM message");
    return static_cast<Enum>(number);
}

// Throws kj::Exception unless the number is from 0 to 1.
double to_share(double number)
{
    KJ_REQUIRE(number >= 0.0 && number <= 1.0, "share out of range in a VM message");
    return number;
}

// Throws kj::Exception unless the number is finite; a negative one means no limit.
std::optional<double> to_limit(double per_second)
{
    KJ_REQUIRE(std::isfinite(per_second), "odd limit in a VM message");
    return per_second < 0.0 ? std::nullopt : std::optional(per_second);
}

class message_writer
{
public:
    explicit message_writer(wire::VmMessage::Builder out) : out_(out) {}

    void operator()(const ping_message&) { out_.setPing(); }
    void operator()(const pong_message&) { out_.setPong(); }
    void operator()(const leaving_message&) { out_.setLeaving(); }
    void operator()(const cancel_message& message) { out_.setCancel(message.job); }
    void operator()(const returned_message& message) { out_.setReturned(message.job); }
    void operator()(const submit_message& message)
    {
        auto to = out_.initSubmit();
        const stage_request& request = message.request;
        to.setJob(message.job);
        to.setAttempt(request.attempt);
        to.setService(request.service);
        to.setStage(request.stage);
        to.setPriority(request.priority);
        to.setPieces(request.pieces);
        to.setResultBytes(request.result_bytes);
        to.setKey(request.key);
        write_texts(to.initInputs(static_cast<capnp::uint>(request.inputs.size())), request.inputs);
        to.setPreferredDomain(request.preferred_domain);
        to.setShard(request.shard);
        to.setGoalLeftMs(clamp_to_int32(request.goal_left));
        to.setDeadlineLeftMs(clamp_to_int32(request.deadline_left));
        to.setAccount(request.account);
        to.setIsAboveShare(request.is_above_share);
        to.setRefusedPieces(request.refused_pieces);
    }
    void operator()(const done_message& message)
    {
        auto to = out_.initDone();
        to.setJob(message.job);
        to.setEnd(static_cast<std::uint8_t>(message.outcome.end));
        to.setWhy(static_cast<std::uint8_t>(message.outcome.why));
        to.setExpectedMs(clamp_to_int32(message.outcome.expected));
        write_texts(to.initHandles(static_cast<capnp::uint>(message.outcome.handles.size())),
                    message.outcome.handles);
        const queue_delays& delays = message.outcome.delays;
        auto entries = to.initDelays(static_cast<capnp::uint>(delays.by_priority.size()));
        for (std::size_t i = 0; i < delays.by_priority.size(); ++i)
        {
            entries[static_cast<capnp::uint>(i)].setPriority(delays.by_priority[i].priority);
            entries[static_cast<capnp::uint>(i)].setExpectedMs(
                clamp_to_int32(delays.by_priority[i].expected));
            entries[static_cast<capnp::uint>(i)].setAboveShareMs(
                clamp_to_int32(delays.by_priority[i].above_share));
        }
        to.setLateDelayMs(clamp_to_int32(delays.late));
        auto shares = to.initShares(static_cast<capnp::uint>(delays.shares.size()));
        for (std::size_t i = 0; i < delays.shares.size(); ++i)
        {
            auto entry = shares[static_cast<capnp::uint>(i)];
            entry.setAccount(delays.shares[i].account);
            entry.setPriority(delays.shares[i].priority);
            entry.setShare(static_cast<float>(delays.shares[i].share));
        }
    }
    void operator()(const release_message& message)
    {
        auto to = out_.initRelease();
        write_texts(to.initHandles(static_cast<capnp::uint>(message.handles.size())),
                    message.handles);
    }
    void operator()(const state_query& message)
    {
        auto to = out_.initQuery();
        to.setTable(static_cast<std::uint8_t>(message.table));
        to.setRevision(message.position.revision);
        to.setEra(message.position.era);
        to.setHeld(message.held);
    }
    // As a query for held records, which VMs that do not know crash queries answer with little.
    void operator()(const crash_query& message)
    {
        auto to = out_.initQuery();
        to.setTable(static_cast<std::uint8_t>(state_table::desired));
        to.setHeld(true);
        to.setCrashes(true);
        to.setCrashesSinceMs(message.since ? clamp_to_int32(*message.since) : -1);
        to.setCrashDigest(message.digest);
    }
    void operator()(const state_answer& message)
    {
        auto to = out_.initAnswer();
        to.setTable(static_cast<std::uint8_t>(message.table));
        const table_update& update = message.update;
        to.setRevision(update.position.revision);
        to.setEra(update.position.era);
        to.setLoaded(message.loaded);
        auto list = to.initRecords(static_cast<capnp::uint>(update.records.size()));
        for (capnp::uint i = 0; i < list.size(); ++i)
            write_record(list[i], update.records[i]);
        to.setIsSnapshot(update.is_snapshot);
        to.setAfter(update.after.revision);
        to.setAfterEra(update.after.era);
        to.setRegainedMsAgo(message.regained_ago ? clamp_to_int32(*message.regained_ago) : -1);
    }
    void operator()(const held_records& message)
    {
        auto to = out_.initHeld();
        to.setTable(static_cast<std::uint8_t>(message.table));
        to.setEra(message.era);
        auto list = to.initRecords(static_cast<capnp::uint>(message.records.size()));
        for (capnp::uint i = 0; i < list.size(); ++i)
        {
            const held_record& held = message.records[i];
            write_record(list[i].initRecord(), held.record);
            list[i].setRestoredRevision(held.restored_revision);
            list[i].setMsLeft(
                held.time_left == held_until_changed ? -1 : clamp_to_int32(held.time_left));
        }
    }
    void operator()(const pace_reports& message)
    {
        auto list = out_.initPaces(static_cast<capnp::uint>(message.reports.size()));
        for (capnp::uint i = 0; i < list.size(); ++i)
        {
            const pace_report& report = message.reports[i];
            list[i].setOrigin(report.origin);
            list[i].setSequence(report.sequence);
            auto samples = list[i].initSamples(static_cast<capnp::uint>(report.samples.size()));
            for (capnp::uint n = 0; n < samples.size(); ++n)
            {
                samples[n].setEndpoint(report.samples[n].endpoint);
                samples[n].setKind(static_cast<std::uint8_t>(report.samples[n].kind));
                samples[n].setValue(report.samples[n].value);
            }
            auto limits = list[i].initLimits(static_cast<capnp::uint>(report.limits.size()));
            for (capnp::uint n = 0; n < limits.size(); ++n)
            {
                limits[n].setEndpoint(report.limits[n].endpoint);
                limits[n].setPerSecond(report.limits[n].limit.value_or(-1.0));
            }
        }
    }
    void operator()(const crash_report& message)
    {
        auto to = out_.initCrash();
        to.setKind(static_cast<std::uint8_t>(message.kind));
        to.setOrigin(message.origin);
        to.setSequence(message.sequence);
        auto engines = to.initEngines(static_cast<capnp::uint>(message.engines.size()));
        for (capnp::uint i = 0; i < engines.size(); ++i)
        {
            engines[i].setId(message.engines[i].id);
            engines[i].setStartedAt(message.engines[i].started_at);
        }
        to.setDomain(message.domain);
        write_texts(to.initParts(static_cast<capnp::uint>(message.parts.size())), message.parts);
        to.setProgress(static_cast<std::uint8_t>(message.progress));
        to.setAnsweringForMs(clamp_to_int32(message.answering_for));
        to.setProbes(message.probes);
        to.setAgeMs(clamp_to_int32(message.age));
        to.setSubject(static_cast<std::uint8_t>(message.subject));
        to.setRoute(message.route);
        to.setIsKnown(message.is_known);
    }
    void operator()(const state_notice& message)
    {
        auto list = out_.initNotice().initCopies(state_table_count);
        for (capnp::uint i = 0; i < list.size(); ++i)
        {
            const table_copy& copy = message.copies[i];
            list[i].setLoaded(copy.loaded);
            list[i].setInSync(copy.in_sync);
            list[i].setRevision(copy.position.revision);
            list[i].setEra(copy.position.era);
            list[i].setDigest(copy.digest);
            list[i].setHeldDigest(copy.held_digest);
            list[i].setInSyncForMs(clamp_to_int32(copy.in_sync_for));
        }
    }

    void operator()(const rollout_report& message)
    {
        auto to = out_.initRollout();
        to.setVm(message.vm);
        to.setLifetime(message.lifetime);
        to.setSequence(message.sequence);
        to.setService(message.service);
        to.setOrder(message.order);
        to.setSent(message.sent);
        to.setCandidateSent(message.candidate_sent);
        to.setPhase(static_cast<std::uint8_t>(message.phase));
        to.setOldInFlight(message.old_in_flight);
        to.setOldUnrepeatable(message.old_unrepeatable);
        to.setAgeMs(clamp_to_int32(message.age));
        auto list = to.initCounts(
            static_cast<capnp::uint>(std::min(message.counts.size(), rollout_max_counts)));
        for (capnp::uint i = 0; i < list.size(); ++i)
            write_counts(list[i], message.counts[i]);
    }
    void operator()(const rollout_verdict& message)
    {
        auto to = out_.initVerdict();
        to.setService(message.service);
        to.setOldVersion(message.old_version);
        to.setOrder(message.order);
        to.setPhase(static_cast<std::uint8_t>(message.phase));
        to.setStep(message.step);
        to.setAgeMs(clamp_to_int32(message.age));
        auto shares = to.initShares();
        shares.setUsual(message.shares.usual);
        shares.setBound(message.shares.bound);
        auto routes = shares.initRoutes(
            static_cast<capnp::uint>(std::min(message.shares.routes.size(), rollout_max_routes)));
        for (capnp::uint i = 0; i < routes.size(); ++i)
        {
            routes[i].setRoute(message.shares.routes[i].route);
            routes[i].setShare(message.shares.routes[i].share);
        }
    }

private:
    static void write_counts(wire::RolloutCounts::Builder to, const rollout_counts& counts)
    {
        to.setRoute(counts.route);
        to.setEndpoint(counts.endpoint);
        to.setDomain(counts.domain);
        to.setIsCandidate(counts.is_candidate);
        to.setAnswers(counts.answers);
        to.setFailures(counts.failures);
        auto buckets = to.initByDuration(rollout_buckets);
        for (capnp::uint i = 0; i < buckets.size(); ++i)
            buckets.set(i, counts.by_duration[i]);
    }
    static void write_record(wire::Record::Builder to, const state_record& record)
    {
        to.setName(record.name);
        to.setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(record.value.data()),
                                 record.value.size()));
        to.setRevision(record.revision);
        to.setDeleted(record.deleted);
    }

    wire::VmMessage::Builder out_;
};

submit_message read_submit(wire::SubmitStage::Reader from)
{
    submit_message message;
    message.job = from.getJob();
    stage_request& request = message.request;
    request.attempt = to_text(from.getAttempt());
    request.service = to_text(from.getService());
    request.stage = from.getStage();
    request.priority = from.getPriority();
    request.pieces = from.getPieces();
    request.result_bytes = from.getResultBytes();
    request.key = to_text(from.getKey());
    request.inputs = read_texts(from.getInputs());
    request.preferred_domain = to_text(from.getPreferredDomain());
    request.shard = to_text(from.getShard());
    request.goal_left = milliseconds(from.getGoalLeftMs());
    request.deadline_left = milliseconds(from.getDeadlineLeftMs());
    request.account = from.getAccount();
    request.is_above_share = from.getIsAboveShare();
    request.refused_pieces = from.getRefusedPieces();
    return message;
}

done_message read_done(wire::StageDone::Reader from)
{
    done_message message;
    message.job = from.getJob();
    message.outcome.end = to_enum(from.getEnd(), stage_end::lost);
    message.outcome.why = to_enum(from.getWhy(), piece_failure::failed);
    message.outcome.expected = milliseconds(from.getExpectedMs());
    message.outcome.handles = read_texts(from.getHandles());
    for (const auto entry : from.getDelays())
    {
        if (message.outcome.delays.by_priority.size() == queue_delays_max_priorities)
            break;
        message.outcome.delays.by_priority.push_back({entry.getPriority(),
                                                      milliseconds(entry.getExpectedMs()),
                                                      milliseconds(entry.getAboveShareMs())});
    }
    message.outcome.delays.late = milliseconds(from.getLateDelayMs());
    for (const auto entry : from.getShares())
    {
        if (message.outcome.delays.shares.size() == account_shares_max)
            break;
        message.outcome.delays.shares.push_back(
            {entry.getAccount(), entry.getPriority(), to_share(entry.getShare())});
    }
    return message;
}

state_record read_record(wire::Record::Reader from)
{
    const auto value = from.getValue();
    return {to_text(from.getName()),
            {reinterpret_cast<const char*>(value.begin()), value.size()},
            from.getRevision(),
            from.getDeleted()};
}

vm_message read_query(wire::StateQuery::Reader from)
{
    if (from.getCrashes())
    {
        crash_query query;
        if (from.getCrashesSinceMs() >= 0)
            query.since = milliseconds(from.getCrashesSinceMs());
        query.digest = from.getCrashDigest();
        return query;
    }
    return state_query{to_enum(from.getTable(), state_table::vms),
                       {from.getEra(), from.getRevision()},
                       from.getHeld()};
}

state_answer read_answer(wire::StateAnswer::Reader from)
{
    state_answer message;
    message.table = to_enum(from.getTable(), state_table::vms);
    message.loaded = from.getLoaded();
    message.update.position = {from.getEra(), from.getRevision()};
    for (const auto record : from.getRecords())
        message.update.records.push_back(read_record(record));
    message.update.is_snapshot = from.getIsSnapshot();
    message.update.after = {from.getAfterEra(), from.getAfter()};
    if (from.getRegainedMsAgo() >= 0)
        message.regained_ago = milliseconds(from.getRegainedMsAgo());
    if (!is_valid(message.update.position) || !is_valid(message.update.after))
        message.loaded = false;
    return message;
}

held_records read_held(wire::HeldRecords::Reader from)
{
    held_records message;
    message.table = to_enum(from.getTable(), state_table::vms);
    if (!is_within(from.getEra(), revision_range))
        return message;
    message.era = from.getEra();
    for (const auto held : from.getRecords())
        message.records.push_back(
            {read_record(held.getRecord()), held.getRestoredRevision(),
             held.getMsLeft() < 0 ? held_until_changed : milliseconds(held.getMsLeft())});
    return message;
}

state_notice read_notice(wire::StateNotice::Reader from)
{
    const auto list = from.getCopies();
    KJ_REQUIRE(list.size() == state_table_count, "unknown number of tables in a VM message");
    state_notice message;
    for (capnp::uint i = 0; i < list.size(); ++i)
    {
        const store_position position{list[i].getEra(), list[i].getRevision()};
        if (!is_valid(position))
            continue; // as a copy that is not loaded
        table_copy& copy = message.copies[i];
        copy.loaded = list[i].getLoaded();
        copy.in_sync = list[i].getInSync();
        copy.position = position;
        copy.digest = list[i].getDigest();
        copy.held_digest = list[i].getHeldDigest();
        copy.in_sync_for = milliseconds(std::max(list[i].getInSyncForMs(), 0));
    }
    return message;
}

crash_report read_crash(wire::CrashReport::Reader from)
{
    crash_report message;
    message.kind = to_enum(from.getKind(), crash_report_kind::probe);
    message.origin = to_text(from.getOrigin());
    message.sequence = from.getSequence();
    for (const auto engine : from.getEngines())
        message.engines.push_back({to_text(engine.getId()), engine.getStartedAt()});
    message.domain = to_text(from.getDomain());
    message.parts = read_texts(from.getParts());
    message.progress = to_enum(from.getProgress(), answer_progress::events);
    message.answering_for = milliseconds(from.getAnsweringForMs());
    message.probes = from.getProbes();
    message.age = milliseconds(from.getAgeMs());
    message.subject = to_enum(from.getSubject(), crash_report_subject::requests);
    message.route = to_text(from.getRoute());
    message.is_known = from.getIsKnown();
    return message;
}

// Throws kj::Exception for a number out of its range and for nan.
float to_pace(float number)
{
    KJ_REQUIRE(is_within(static_cast<double>(number), pace_sample_range),
               "odd pace in a VM message");
    return number;
}

pace_reports read_paces(capnp::List<wire::PaceReport>::Reader from)
{
    pace_reports message;
    for (const auto entry : from)
    {
        pace_report report{entry.getOrigin(), entry.getSequence(), {}, {}};
        for (const auto sample : entry.getSamples())
        {
            report.samples.push_back({sample.getEndpoint(),
                                      to_enum(sample.getKind(), pace_sample_kind::wait),
                                      to_pace(sample.getValue())});
        }
        for (const auto limit : entry.getLimits())
            report.limits.push_back({limit.getEndpoint(), to_limit(limit.getPerSecond())});
        message.reports.push_back(std::move(report));
    }
    return message;
}

milliseconds read_age(std::int32_t age)
{
    KJ_REQUIRE(age >= 0, "negative age in a VM message");
    return milliseconds(age);
}

double read_share(double share)
{
    KJ_REQUIRE(is_within(share, share_range), "odd share in a VM message");
    return share;
}

rollout_counts read_counts(wire::RolloutCounts::Reader from)
{
    rollout_counts counts;
    counts.route = to_text(from.getRoute());
    counts.endpoint = to_text(from.getEndpoint());
    counts.domain = to_text(from.getDomain());
    counts.is_candidate = from.getIsCandidate();
    counts.answers = from.getAnswers();
    counts.failures = from.getFailures();
    const auto buckets = from.getByDuration();
    KJ_REQUIRE(buckets.size() == rollout_buckets, "unknown number of buckets in a VM message");
    std::uint32_t largest = counts.failures;
    for (capnp::uint i = 0; i < buckets.size(); ++i)
    {
        counts.by_duration[i] = buckets[i];
        largest = std::max(largest, buckets[i]);
    }
    KJ_REQUIRE(largest <= counts.answers, "more outcomes than answers in a VM message");
    return counts;
}

rollout_report read_rollout(wire::RolloutReport::Reader from)
{
    rollout_report message;
    message.vm = to_text(from.getVm());
    message.lifetime = from.getLifetime();
    message.sequence = from.getSequence();
    message.service = to_text(from.getService());
    message.order = from.getOrder();
    message.sent = from.getSent();
    message.candidate_sent = from.getCandidateSent();
    message.phase = to_enum(from.getPhase(), rollout_phase::rolled_back);
    message.old_in_flight = from.getOldInFlight();
    message.old_unrepeatable = from.getOldUnrepeatable();
    message.age = read_age(from.getAgeMs());
    KJ_REQUIRE(is_within(message.order, revision_range) &&
                   is_within(message.sent, revision_range) &&
                   is_within(message.candidate_sent, revision_range),
               "number out of its range in a VM message");
    KJ_REQUIRE(from.getCounts().size() <= rollout_max_counts, "too many counts in a VM message");
    for (const auto counts : from.getCounts())
        message.counts.push_back(read_counts(counts));
    return message;
}

rollout_verdict read_verdict(wire::RolloutVerdict::Reader from)
{
    rollout_verdict message;
    message.service = to_text(from.getService());
    message.old_version = to_text(from.getOldVersion());
    message.order = from.getOrder();
    message.phase = to_enum(from.getPhase(), rollout_phase::rolled_back);
    message.step = from.getStep();
    message.age = read_age(from.getAgeMs());
    const auto shares = from.getShares();
    message.shares.usual = read_share(shares.getUsual());
    message.shares.bound = read_share(shares.getBound());
    KJ_REQUIRE(shares.getRoutes().size() <= rollout_max_routes, "too many routes in a VM message");
    for (const auto route : shares.getRoutes())
        message.shares.routes.push_back({to_text(route.getRoute()), read_share(route.getShare())});
    return message;
}

vm_message read_message(wire::VmMessage::Reader from)
{
    switch (from.which())
    {
    case wire::VmMessage::PING:
        return ping_message{};
    case wire::VmMessage::PONG:
        return pong_message{};
    case wire::VmMessage::SUBMIT:
        return read_submit(from.getSubmit());
    case wire::VmMessage::DONE:
        return read_done(from.getDone());
    case wire::VmMessage::CANCEL:
        return cancel_message{from.getCancel()};
    case wire::VmMessage::RELEASE:
        return release_message{read_texts(from.getRelease().getHandles())};
    case wire::VmMessage::QUERY:
        return read_query(from.getQuery());
    case wire::VmMessage::ANSWER:
        return read_answer(from.getAnswer());
    case wire::VmMessage::LEAVING:
        return leaving_message{};
    case wire::VmMessage::NOTICE:
        return read_notice(from.getNotice());
    case wire::VmMessage::CRASH:
        return read_crash(from.getCrash());
    case wire::VmMessage::HELD:
        return read_held(from.getHeld());
    case wire::VmMessage::PACES:
        return read_paces(from.getPaces());
    case wire::VmMessage::ROLLOUT:
        return read_rollout(from.getRollout());
    case wire::VmMessage::VERDICT:
        return read_verdict(from.getVerdict());
    case wire::VmMessage::RETURNED:
        return returned_message{from.getReturned()};
    }
    KJ_FAIL_REQUIRE("unknown VM message type");
}

} // namespace

std::string encode_frame(const vm_message& message)
{
    capnp::MallocMessageBuilder builder;
    std::visit(message_writer(builder.initRoot<wire::VmMessage>()), message);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    const auto length = static_cast<std::uint32_t>(bytes.size());
    std::string frame(length_prefix_bytes + bytes.size(), '\0');
    std::memcpy(frame.data(), &length, length_prefix_bytes);
    std::memcpy(frame.data() + length_prefix_bytes, bytes.begin(), bytes.size());
    return frame;
}

frame_state decode_frame(std::string& buffer, vm_message& message)
{
    if (buffer.size() < length_prefix_bytes)
        return frame_state::incomplete;
    std::uint32_t length = 0;
    std::memcpy(&length, buffer.data(), length_prefix_bytes);
    if (length == 0 || length > frame_limit || length % sizeof(capnp::word) != 0)
        return frame_state::invalid;
    if (buffer.size() < length_prefix_bytes + length)
        return frame_state::incomplete;
    // FlatArrayMessageReader requires word-aligned data.
    auto words = kj::heapArray<capnp::word>(length / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), buffer.data() + length_prefix_bytes, length);
    buffer.erase(0, length_prefix_bytes + length);
    try
    {
        capnp::FlatArrayMessageReader reader(words);
        message = read_message(reader.getRoot<wire::VmMessage>());
    }
    catch (const kj::Exception&)
    {
        return frame_state::invalid;
    }
    return frame_state::complete;
}

} // namespace zinnianotch
