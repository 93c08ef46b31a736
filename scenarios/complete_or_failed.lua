-- Guarantee 2: an answer is complete or marked failed, never partial. Guards against answers that
-- leave out the tasks that failed or were lost.
require "lib"
local c = cluster{workers = 3}
local failing = c:submit{tasks = 5, run_ms = 20, fail = true}
await_answer(failing)
expect(answer_of(failing).status == "failed", "a job whose tasks fail is failed")
-- One of three endpoints fails everything: jobs over all endpoints are complete or failed as a whole.
control(c.workers[1].endpoint_address, {fail_everything = true})
c:load(20, {tasks = 6, run_ms = {10, 30}})
c:await_answers()
control(c.workers[1].endpoint_address, {fail_everything = false})
-- An agent dies under jobs that are running there.
local jobs = c:load(6, {tasks = 8, run_ms = 400})
c:await_started(jobs[6])
kill(c.workers[2].name)
c:await_answers()
c:check()
