package org.bronzelug.core.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.bronzelug.core.placement.LeastLoad;

/**
 * Replays requests without prompts on endpoints of different speeds. The VMs that choose the
 * endpoints know each other's requests and measured speeds half a second late. The load, the
 * slowdowns and the draws of a seed are the same for each {@link Method}.
 */
final class ReplayedFleet {
    static final int RUN_MILLIS = 20_000;
    private static final int WARM_MILLIS = 3_000;
    private static final int DELAY_MILLIS = 500;
    private static final int REPORT_MILLIS = 100;
    private static final int GOAL_MILLIS = 345;
    private static final double WORK_MILLIS = 71;
    private static final int MAXIMUM_SENDS = 3;
    private static final int SLOWED_MILLIS = 600;
    private static final double SLOWED_FRACTION = 0.15;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6, 1.0, 1.0};
    private static final long MILLI = 1_000_000L;

    /** How endpoints are chosen. */
    enum Method {
        /** By reported requests alone, as in pools that are not adaptive. */
        PRESENT,
        /** By requests and measured speed. */
        SPEED,
        /** As {@link #SPEED}, with a limit by latency gradient. */
        SPEED_AND_GRADIENT,
        /** As {@link #SPEED}, with a limit by additive increase, multiplicative decrease. */
        SPEED_AND_INCREASE,
        /** By the actual requests and speeds of all endpoints. */
        PERFECT
    }

    /** A request and the endpoints that it was sent to. */
    static final class Request {
        private final Vm vm;
        private final int arrivedMillis;
        private final double work;
        private final Set<Integer> tried = new HashSet<>();

        private Request(Vm vm, int arrivedMillis, double work) {
            this.vm = vm;
            this.arrivedMillis = arrivedMillis;
            this.work = work;
        }
    }

    /** What the VMs reported at one moment. */
    private record Snapshot(int[][] requests, SpeedReports[][] speeds) {}

    /** One VM, with its knowledge of each endpoint. */
    private final class Vm {
        private final int index;
        private final EndpointSpeed[] speeds = new EndpointSpeed[endpoints.size()];
        private final int[] own = new int[endpoints.size()];
        private final int[] others = new int[endpoints.size()];
        private final SmoothedCount[] means = new SmoothedCount[endpoints.size()];
        private final KneeCandidate[] knees = new KneeCandidate[endpoints.size()];
        private final UsualTime usual = new UsualTime();

        private Vm(int index) {
            this.index = index;
            for (int endpoint = 0; endpoint < speeds.length; endpoint++) {
                speeds[endpoint] = new EndpointSpeed();
                means[endpoint] = new SmoothedCount();
                knees[endpoint] = knee();
            }
        }

        private void learn(Snapshot reported, int nowMillis) {
            for (int endpoint = 0; endpoint < speeds.length; endpoint++) {
                SpeedReports reports = SpeedReports.NONE;
                others[endpoint] = 0;
                for (int peer = 0; peer < vms.size(); peer++) {
                    if (peer != index) {
                        others[endpoint] += reported.requests()[peer][endpoint];
                        reports = reports.plus(reported.speeds()[peer][endpoint]);
                    }
                }
                means[endpoint].record(others[endpoint], nowMillis * MILLI);
                speeds[endpoint].setPeers(reports, nowMillis * MILLI);
            }
        }

        private void recordEnd(int endpoint, ReplayedEndpoint.Job job, int nowMillis) {
            speeds[endpoint].recordWork(
                    endpoints.get(endpoint).workPercent(nowMillis), nowMillis * MILLI);
            if (!job.fails) {
                double elapsed = nowMillis - job.sentMillis;
                ReplayedEndpoint served = endpoints.get(endpoint);
                double unhurried = elapsed * 100 / served.workPercent(nowMillis);
                knees[endpoint].record(served.running.size() + 1, unhurried, nowMillis * MILLI);
                usual.record(elapsed, nowMillis * MILLI);
                double speed = usual.duration() / elapsed;
                speeds[endpoint].recordSample(speed, speed, nowMillis * MILLI);
            }
        }

        /** Returns the report to peers, which covers endpoints in use only. */
        private SpeedReports report(int endpoint, int nowMillis) {
            if (own[endpoint] == 0) {
                return SpeedReports.NONE;
            }
            return speeds[endpoint]
                    .report(nowMillis * MILLI)
                    .map(
                            report ->
                                    SpeedReports.of(
                                            report.percent(),
                                            (nowMillis - report.ageMillis()) * MILLI,
                                            (nowMillis + DELAY_MILLIS) * MILLI))
                    .orElse(SpeedReports.NONE);
        }
    }

    private KneeCandidate knee() {
        return switch (method) {
            case PRESENT, SPEED, PERFECT -> new KneeCandidate.Stated();
            case SPEED_AND_GRADIENT -> new KneeCandidate.LatencyGradient();
            case SPEED_AND_INCREASE -> new KneeCandidate.AdditiveIncrease();
        };
    }

    private final Method method;
    private final double requestsPerMilli;
    private final List<ReplayedEndpoint> endpoints = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private final Random load;
    private final Random draws;
    private double latencySum;
    private int served;
    private int onTime;
    private int offered;
    private int rejections;

    /** The result of a run, without its first seconds. */
    record Result(double onTime, double meanMillis, int rejections, int longestUnusedMillis) {}

    ReplayedFleet(
            Method method,
            int vmCount,
            double requestsPerMilli,
            ReplayedEndpoint.Fault fault,
            long seed) {
        this.method = method;
        this.requestsPerMilli = requestsPerMilli;
        this.load = new Random(seed);
        this.draws = new Random(seed + 1);
        for (int index = 0; index < SPEEDS.length; index++) {
            ReplayedEndpoint.Fault own =
                    index == SPEEDS.length - 1 ? fault : ReplayedEndpoint.Fault.NONE;
            endpoints.add(new ReplayedEndpoint(SPEEDS[index], own));
        }
        for (int index = 0; index < vmCount; index++) {
            vms.add(new Vm(index));
        }
    }

    Result run() {
        for (int nowMillis = 0; nowMillis < RUN_MILLIS; nowMillis++) {
            if (nowMillis % REPORT_MILLIS == 0) {
                exchangeReports(nowMillis);
            }
            if (nowMillis % SLOWED_MILLIS == 0) {
                slowDown(nowMillis);
            }
            completeRequests(nowMillis);
            if (load.nextDouble() < requestsPerMilli) {
                Vm vm = vms.get(load.nextInt(vms.size()));
                double work = WORK_MILLIS * (0.7 + 0.6 * load.nextDouble());
                offered += nowMillis >= WARM_MILLIS ? 1 : 0;
                send(new Request(vm, nowMillis, work), nowMillis);
            }
        }
        int unused = endpoints.stream().mapToInt(each -> each.longestUnusedMillis).max().orElse(0);
        return new Result(
                (double) onTime / offered, latencySum / Math.max(1, served), rejections, unused);
    }

    private void slowDown(int nowMillis) {
        for (ReplayedEndpoint endpoint : endpoints) {
            if (load.nextDouble() < SLOWED_FRACTION) {
                endpoint.slowUntilMillis = nowMillis + SLOWED_MILLIS;
            }
        }
    }

    private void exchangeReports(int nowMillis) {
        int[][] requests = new int[vms.size()][];
        SpeedReports[][] speeds = new SpeedReports[vms.size()][endpoints.size()];
        for (Vm vm : vms) {
            requests[vm.index] = vm.own.clone();
            for (int endpoint = 0; endpoint < endpoints.size(); endpoint++) {
                speeds[vm.index][endpoint] = vm.report(endpoint, nowMillis);
            }
        }
        snapshots.add(new Snapshot(requests, speeds));
        int late = snapshots.size() - 1 - DELAY_MILLIS / REPORT_MILLIS;
        if (late >= 0) {
            vms.forEach(vm -> vm.learn(snapshots.get(late), nowMillis));
        }
    }

    private void completeRequests(int nowMillis) {
        for (int index = 0; index < endpoints.size(); index++) {
            for (ReplayedEndpoint.Job job : endpoints.get(index).advance(nowMillis)) {
                Request request = job.request;
                request.vm.own[index]--;
                request.vm.recordEnd(index, job, nowMillis);
                if (job.fails) {
                    send(request, nowMillis);
                } else if (request.arrivedMillis >= WARM_MILLIS) {
                    int latency = nowMillis - request.arrivedMillis;
                    served++;
                    latencySum += latency;
                    onTime += latency <= GOAL_MILLIS ? 1 : 0;
                }
            }
        }
    }

    private void send(Request request, int nowMillis) {
        while (request.tried.size() < MAXIMUM_SENDS) {
            Optional<Integer> chosen = choose(request, nowMillis);
            if (chosen.isEmpty()) {
                return;
            }
            int index = chosen.get();
            request.tried.add(index);
            ReplayedEndpoint endpoint = endpoints.get(index);
            if (endpoint.running.size() < ReplayedEndpoint.SLOTS) {
                boolean fails =
                        endpoint.fault == ReplayedEndpoint.Fault.FAILS_FAST
                                && draws.nextInt(3) == 0;
                request.vm.own[index]++;
                endpoint.running.add(
                        new ReplayedEndpoint.Job(request, nowMillis, fails, request.work));
                return;
            }
            rejections += nowMillis >= WARM_MILLIS ? 1 : 0;
        }
    }

    private Optional<Integer> choose(Request request, int nowMillis) {
        List<LeastLoad.Candidate> candidates = new ArrayList<>();
        for (int index = 0; index < endpoints.size(); index++) {
            if (!request.tried.contains(index)) {
                candidates.add(candidate(request.vm, index, nowMillis));
            }
        }
        Optional<LeastLoad.Candidate> best =
                switch (method) {
                    case PRESENT -> LeastLoad.choose(candidates);
                    case SPEED, SPEED_AND_GRADIENT, SPEED_AND_INCREASE ->
                            chooseBySpeed(request.vm, candidates, nowMillis);
                    case PERFECT -> LeastLoad.chooseBySpeed(candidates, 0, 0.5);
                };
        return best.map(candidate -> Integer.parseInt(candidate.endpoint()));
    }

    private Optional<LeastLoad.Candidate> chooseBySpeed(
            Vm vm, List<LeastLoad.Candidate> candidates, int nowMillis) {
        double known = 0;
        for (int index = 0; index < endpoints.size(); index++) {
            known += vm.own[index] + vm.means[index].mean();
        }
        double probability = Remeasurement.probability(known, vm.usual.duration() * MILLI);
        List<LeastLoad.Candidate> remeasured =
                candidates.stream()
                        .filter(
                                candidate ->
                                        candidate.requests() < candidate.slots()
                                                && Remeasurement.isDue(
                                                        vm.speeds[
                                                                Integer.parseInt(
                                                                        candidate.endpoint())],
                                                        probability,
                                                        draws.nextDouble(),
                                                        nowMillis * MILLI))
                        .toList();
        return LeastLoad.chooseBySpeed(
                remeasured.isEmpty() ? candidates : remeasured,
                draws.nextDouble(),
                draws.nextDouble());
    }

    private LeastLoad.Candidate candidate(Vm vm, int index, int nowMillis) {
        ReplayedEndpoint endpoint = endpoints.get(index);
        boolean sameZone = vm.index % 4 == index % 4;
        return switch (method) {
            case PRESENT ->
                    new LeastLoad.Candidate(
                            String.valueOf(index),
                            sameZone,
                            false,
                            vm.own[index] + vm.others[index],
                            ReplayedEndpoint.SLOTS);
            case SPEED, SPEED_AND_GRADIENT, SPEED_AND_INCREASE ->
                    new LeastLoad.Candidate(
                            String.valueOf(index),
                            sameZone,
                            false,
                            vm.own[index] + (int) Math.round(vm.means[index].mean()),
                            vm.knees[index].slots(),
                            vm.speeds[index].speed(nowMillis * MILLI));
            case PERFECT ->
                    new LeastLoad.Candidate(
                            String.valueOf(index),
                            true,
                            false,
                            endpoint.running.size(),
                            ReplayedEndpoint.SLOTS,
                            endpoint.speed(nowMillis));
        };
    }
}
