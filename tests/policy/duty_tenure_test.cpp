#include "policy/duty_tenure.h"

#include <boost/test/unit_test.hpp>

namespace quincefall {
namespace {

const host_address hostA{"10.0.0.1", 1};
const host_address hostB{"10.0.0.2", 1};
const host_address hostC{"10.0.0.3", 1};
constexpr milliseconds lease{6'000};

instant at(std::int64_t ms)
{
    return instant(milliseconds(ms));
}

/// A store whose topic grows by conditional appends.
struct fake_store
{
    std::optional<tenure_record> newest;
    store_position end;

    bool append(const tenure_record &record, const store_position &expected)
    {
        if (expected != end)
            return false;
        newest = record;
        ++end.offset;
        return true;
    }
};

struct fake_host
{
    explicit fake_host(const host_address &address, bool checksFence = true)
        : tenure(makeTenure(address, {lease, checksFence}))
    {
    }

    duty_tenure tenure;
    std::uint64_t nextNonce = 1;

    /// A write that is sent at @p now and not stored yet.
    tenure_record send(instant now)
    {
        const std::uint64_t nonce = std::uint64_t(tenure.self.ip.back()) * 1'000 + nextNonce++;
        tenure_record record = makeRecord(tenure, nonce, false);
        beginWrite(tenure, record, now);
        return record;
    }

    void read(const fake_store &store, instant now)
    {
        applyRead(tenure, store.newest, store.end, now);
    }

    /// A claim or commit whose answer arrives.
    bool write(fake_store &store, instant now)
    {
        const tenure_record record = send(now);
        if (!store.append(record, tenure.end)) {
            read(store, now);
            return false;
        }
        applyStored(tenure, record, store.end, now);
        return true;
    }
};

/// A holds the duties from time 0 on, and B has read its record.
struct held_by_a
{
    explicit held_by_a(bool checksFence = true)
        : a(hostA, checksFence)
        , b(hostB, checksFence)
    {
        a.read(store, at(0));
        a.write(store, at(0));
        b.read(store, at(0));
    }

    fake_store store;
    fake_host a;
    fake_host b;
};

BOOST_AUTO_TEST_SUITE(duty_tenure_tests)

BOOST_AUTO_TEST_CASE(duties_that_nobody_held_are_claimed_at_once)
{
    fake_store store;
    fake_host a(hostA);
    BOOST_TEST((timeUntilClaim(a.tenure, at(0)) == microseconds::max()));
    a.read(store, at(0));
    BOOST_TEST((timeUntilClaim(a.tenure, at(0)) == microseconds(0)));
    BOOST_TEST(a.write(store, at(0)));
    BOOST_TEST(mayAct(a.tenure, at(10)));
}

BOOST_AUTO_TEST_CASE(only_one_of_two_claims_is_stored)
{
    fake_store store;
    fake_host a(hostA);
    fake_host b(hostB);
    a.read(store, at(0));
    b.read(store, at(0));
    BOOST_TEST(a.write(store, at(0)));
    BOOST_TEST(!b.write(store, at(1)));
    BOOST_TEST(!mayAct(b.tenure, at(1)));
}

BOOST_AUTO_TEST_CASE(a_silent_holder_is_replaced_after_a_lease)
{
    held_by_a held;
    applySilence(held.b.tenure, milliseconds(5'900));
    BOOST_TEST((timeUntilClaim(held.b.tenure, at(5'900)) == milliseconds(100)));
    // The store did not answer for an hour, which tells nothing of the holder.
    BOOST_TEST((timeUntilClaim(held.b.tenure, at(3'600'000)) == milliseconds(100)));
    applySilence(held.b.tenure, milliseconds(100));
    BOOST_TEST((timeUntilClaim(held.b.tenure, at(6'000)) == microseconds(0)));
}

// A host that had waited for a lease claimed the duties as soon as the store answered again, before
// the holder could renew.
BOOST_AUTO_TEST_CASE(after_an_outage_of_the_store_the_holder_has_time_to_renew)
{
    held_by_a held;
    applySilence(held.b.tenure, lease);
    BOOST_TEST((timeUntilClaim(held.b.tenure, at(6'000)) == microseconds(0)));
    applyOutage(held.b.tenure);
    const microseconds renewal = renewalInterval(held.b.tenure.settings);
    BOOST_TEST((timeUntilClaim(held.b.tenure, at(9'000)) == renewal));
    applySilence(held.b.tenure, renewal);
    BOOST_TEST((timeUntilClaim(held.b.tenure, at(12'000)) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(a_renewal_waits_for_a_commit_that_comes_soon_after_it_is_due)
{
    held_by_a held;
    const duty_tenure &tenure = held.a.tenure;
    BOOST_TEST((renewalDue(tenure, instant::min()) == at(3'000)));
    BOOST_TEST((renewalDue(tenure, at(2'900)) == at(3'000)));
    BOOST_TEST((renewalDue(tenure, at(4'000)) == at(4'000)));
    BOOST_TEST((renewalDue(tenure, at(4'001)) == at(3'000)));
    // It may act for a shorter time, and less is left to repeat a renewal that failed.
    held_by_a unchecked(false);
    BOOST_TEST((renewalDue(unchecked.a.tenure, at(3'300)) == at(3'300)));
    BOOST_TEST((renewalDue(unchecked.a.tenure, at(3'400)) == at(3'000)));
}

BOOST_AUTO_TEST_CASE(each_record_raises_the_fencing_token)
{
    held_by_a held;
    const std::uint64_t first = fencingToken(held.a.tenure.end);
    held.a.write(held.store, at(2'000));
    const std::uint64_t second = fencingToken(held.a.tenure.end);
    BOOST_TEST(second > first);
    // The store has come back from a copy without the two records.
    BOOST_TEST(fencingToken({held.a.tenure.end.epoch + 1, 1}) > second);
}

BOOST_AUTO_TEST_CASE(a_host_that_was_suspended_does_not_act_on_an_old_record)
{
    held_by_a held;
    // Its commit was answered while it was suspended, and another host took over.
    const tenure_record record = held.a.send(at(2'000));
    const store_position end{0, 2};
    BOOST_TEST(held.store.append(record, held.a.tenure.end));
    held.b.read(held.store, at(2'000));
    applySilence(held.b.tenure, lease);
    BOOST_TEST(held.b.write(held.store, at(8'100)));
    applyStored(held.a.tenure, record, end, at(9'000));
    BOOST_TEST(held.a.tenure.needsCommit);
    BOOST_TEST(!mayAct(held.a.tenure, at(9'000)));
    BOOST_TEST(!held.a.write(held.store, at(9'000)));
    BOOST_TEST(!held.a.tenure.isHolder);
}

BOOST_AUTO_TEST_CASE(a_host_that_was_suspended_briefly_commits_before_it_acts)
{
    held_by_a held;
    noteRunning(held.a.tenure, at(200));
    BOOST_TEST(mayAct(held.a.tenure, at(400)));
    BOOST_TEST(!mayAct(held.a.tenure, at(3'000)));
    noteRunning(held.a.tenure, at(3'000));
    BOOST_TEST(!mayAct(held.a.tenure, at(3'000)));
    BOOST_TEST(held.a.write(held.store, at(3'000)));
    BOOST_TEST(mayAct(held.a.tenure, at(3'000)));
}

void runUntil(fake_host &host, std::int64_t ms)
{
    for (std::int64_t now = 0; now <= ms; now += 250)
        noteRunning(host.tenure, at(now));
}

BOOST_AUTO_TEST_CASE(a_holder_that_can_not_commit_stops_to_act_before_another_takes_over)
{
    held_by_a checked(true);
    runUntil(checked.a, 5'900);
    BOOST_TEST(mayAct(checked.a.tenure, at(5'900)));
    runUntil(checked.a, 6'100);
    BOOST_TEST(!mayAct(checked.a.tenure, at(6'100)));
    // Where the platform does not refuse late calls, they need some of the lease, too.
    held_by_a unchecked(false);
    runUntil(unchecked.a, 4'100);
    BOOST_TEST(!mayAct(unchecked.a.tenure, at(4'100)));
}

BOOST_AUTO_TEST_CASE(a_commit_whose_answer_was_lost_is_found)
{
    held_by_a held;
    const tenure_record record = held.a.send(at(2'000));
    held.store.append(record, held.a.tenure.end);
    held.a.read(held.store, at(3'000));
    BOOST_TEST(mayAct(held.a.tenure, at(3'000)));
    BOOST_TEST((held.a.tenure.confirmedAt == at(2'000)));
}

BOOST_AUTO_TEST_CASE(a_commit_that_is_stored_late_does_not_end_the_tenure)
{
    held_by_a held;
    const tenure_record late = held.a.send(at(2'000));
    const store_position before = held.a.tenure.end;
    held.a.read(held.store, at(2'900)); // Not stored yet.
    BOOST_TEST(held.store.append(late, before));
    BOOST_TEST(!held.a.write(held.store, at(3'000)));
    BOOST_TEST(held.a.tenure.isHolder);
    BOOST_TEST(held.a.write(held.store, at(3'010)));
    BOOST_TEST(mayAct(held.a.tenure, at(3'010)));
}

BOOST_AUTO_TEST_CASE(a_claim_that_is_stored_late_has_to_be_renewed)
{
    held_by_a held;
    applySilence(held.b.tenure, lease);
    const tenure_record late = held.b.send(at(6'000));
    BOOST_TEST(held.store.append(late, held.b.tenure.end));
    held.b.read(held.store, at(16'000));
    BOOST_TEST(held.b.tenure.isHolder);
    BOOST_TEST(!mayAct(held.b.tenure, at(16'000)));
    BOOST_TEST(held.b.write(held.store, at(16'000)));
    BOOST_TEST(mayAct(held.b.tenure, at(16'000)));
}

BOOST_AUTO_TEST_CASE(released_duties_are_claimed_at_once_but_not_by_the_holder_before)
{
    held_by_a held;
    applySilence(held.b.tenure, lease);
    held.b.write(held.store, at(6'000));
    held.a.read(held.store, at(6'100));
    fake_host restartedA(hostA);
    fake_host c(hostC);
    held.store.append(makeRecord(held.b.tenure, 99, true), held.store.end);
    held.a.read(held.store, at(6'200));
    restartedA.read(held.store, at(6'200));
    c.read(held.store, at(6'200));
    BOOST_TEST((timeUntilClaim(c.tenure, at(6'200)) == microseconds(0)));
    BOOST_TEST((timeUntilClaim(held.a.tenure, at(6'200)) == lease));
    BOOST_TEST((timeUntilClaim(restartedA.tenure, at(6'200)) == lease));
}

BOOST_AUTO_TEST_CASE(a_host_that_lost_the_duties_waits_though_an_older_copy_of_the_store_names_it)
{
    held_by_a held;
    const fake_store copy = held.store;
    applySilence(held.b.tenure, lease);
    held.b.write(held.store, at(6'100));
    held.a.read(held.store, at(6'200));
    held.store = copy;
    held.store.end.epoch = 1;
    held.a.read(held.store, at(6'300));
    BOOST_TEST(!held.a.tenure.isHolder);
    BOOST_TEST((timeUntilClaim(held.a.tenure, at(6'300)) == milliseconds(5'900)));
    BOOST_TEST(!held.b.write(held.store, at(6'400)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
