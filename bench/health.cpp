// Scratch driver
#include "healthmodel/world.h"
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <thread>
using namespace healthmodel;
int main(int argc, char **argv)
{
    const int reps = argc > 1 ? atoi(argv[1]) : 20;
    const double hours = argc > 2 ? atof(argv[2]) : 0;
    const char *only = argc > 3 ? argv[3] : "";
    const auto services = servicesOfBothRegions();
    struct Job {
        WorldSettings s;
        WorldResult r;
    };
    std::vector<Job> jobs;
    for (int k = 1; k < (int)FaultNames.size(); ++k)
        for (int j = 0; j < 5; ++j)
            for (int i = 0; i < reps; ++i) {
                if (*only && !strstr(only, ("," + std::to_string(k) + ",").c_str()))
                    continue;
                Job job;
                job.s.service = services[1];
                job.s.fault = faultOf((FaultKind)k, 11);
                job.s.judge = (JudgeKind)j;
                job.s.seed = 1000 + i;
                if (k == 11)
                    job.s.length = Seconds { 200 };
                jobs.push_back(job);
            }
    if (hours > 0)
        for (auto &s : services)
            for (int part = 0; part < 3; ++part) {
                Job job;
                job.s.service = s;
                job.s.judge = JudgeKind::Cautious;
                job.s.shadows = { JudgeKind::ConsecutiveErrors, JudgeKind::LatencyOutlier };
                job.s.seed = 77 + part;
                job.s.length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(hours * 3600 / 3));
                jobs.push_back(job);
            }
    std::atomic<size_t> next { 0 };
    auto t0 = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int t = 0; t < 3; ++t)
        threads.emplace_back([&] {
            for (size_t i; (i = next++) < jobs.size();)
                jobs[i].r = World(jobs[i].s).run();
        });
    for (auto &t : threads)
        t.join();
    fprintf(stderr, "%.1f s\n", std::chrono::duration<double>(std::chrono::steady_clock::now() - t0).count());
    for (int k = 1; k < (int)FaultNames.size(); ++k)
        for (int j = 0; j < 5; ++j) {
            std::vector<double> det;
            double hurt = 0, viol = 0, fe = 0, uns = 0, req = 0, trial = 0, sheds = 0, as = 0;
            int n = 0;
            for (auto &job : jobs)
                if ((int)job.s.fault.kind == k && (int)job.s.judge == j) {
                    ++n;
                    for (double d : job.r.detection)
                        det.push_back(d < 0 ? 999 : d);
                    hurt += job.r.hurt;
                    viol += job.r.floorViolations;
                    fe += job.r.falseEjections;
                    uns += job.r.unserved;
                    req += job.r.requests;
                    trial += job.r.hurtByTrial;
                    sheds += job.r.sheds;
                    as += job.r.allSlowEvents;
                }
            if (!n)
                continue;
            std::sort(det.begin(), det.end());
            printf("%-26s %-20s p50 %6.2f p99 %6.2f hurt %8.1f (trial %6.1f) viol %6.1f false %5.2f unserved %7.4f%% "
                   "shed %6.3f%% allslow %4.1f\n",
                   FaultNames[k].data(),
                   JudgeNames[j].data(),
                   det[det.size() / 2],
                   det[std::min(det.size() - 1, size_t(det.size() * .99))],
                   hurt / n,
                   trial / n,
                   viol / n,
                   fe / n,
                   100 * uns / req,
                   100 * sheds / req,
                   as / n);
        }
    double th = 0, fe = 0;
    std::vector<double> peaks;
    double s0 = 0, s1 = 0, viol = 0;
    for (auto &job : jobs)
        if (job.s.fault.kind == FaultKind::None) {
            double h = toSeconds(job.s.length) / 3600 * job.s.service.targets;
            th += h;
            fe += job.r.falseEjections;
            s0 += job.r.shadowFalseEjections[0];
            s1 += job.r.shadowFalseEjections[1];
            viol += job.r.floorViolations;
            auto p = job.r.peaks;
            std::sort(p.begin(), p.end(), std::greater<>());
            printf("healthy %-14s th %7.1f false %g cons %g outl %g allslow %g shed %.3f%% uns %.4f%% peaks:",
                   job.s.service.name.c_str(),
                   h,
                   job.r.falseEjections,
                   job.r.shadowFalseEjections[0],
                   job.r.shadowFalseEjections[1],
                   job.r.allSlowEvents,
                   100 * job.r.sheds / job.r.requests,
                   100 * job.r.unserved / job.r.requests);
            for (size_t i = 0; i < 6 && i < p.size(); ++i)
                printf(" %.2f", p[i]);
            printf("\n");
            peaks.insert(peaks.end(), p.begin(), p.end());
        }
    if (th > 0) {
        printf("target-hours %.0f false %g cons %g outl %g viol %g\n", th, fe, s0, s1, viol);
        for (double x = 6; x < 30; x += 1) {
            double c = std::count_if(peaks.begin(), peaks.end(), [x](double p) {
                return p >= x;
            });
            printf("  over %.1f: %.0f = %.2f per 1000 th\n", x, c, c / th * 1000);
        }
    }
}
