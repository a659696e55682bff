#include <limpetlock/gateway/reply_waits.hpp>

#include <criterion/criterion.h>

using namespace limpetlock::gateway;

// The polls of many waiting tasks must not take the processor time of the instance that schedules them.
Test(reply_waits, only_one_of_many_tasks_is_polled_often)
{
    reply_waits it;
    cr_expect(it.choose("b", false) == reply_waits::prompt);
    it.begin("b", reply_waits::prompt);
    for (int n = 0; n < 500; ++n) {
        cr_expect(it.choose("b", false) == reply_waits::relaxed);
        it.begin("b", reply_waits::relaxed);
    }
    cr_expect(it.choose("c", false) == reply_waits::prompt);
}

// When the task that is polled often ends, another one must take its place, or nothing shows that the
// instance died.
Test(reply_waits, next_call_is_prompt_when_the_prompt_one_ended)
{
    reply_waits it;
    it.begin("b", reply_waits::prompt);
    it.begin("b", reply_waits::relaxed);
    it.end("b", reply_waits::relaxed);
    cr_expect(it.choose("b", false) == reply_waits::relaxed);
    it.end("b", reply_waits::prompt);
    cr_expect(it.choose("b", false) == reply_waits::prompt);
}

// Silence during a relaxed wait says nothing, so the next call must be decisive.
Test(reply_waits, call_after_an_unclear_one_is_prompt)
{
    reply_waits it;
    it.begin("b", reply_waits::prompt);
    cr_expect(it.choose("b", true) == reply_waits::prompt);
}
