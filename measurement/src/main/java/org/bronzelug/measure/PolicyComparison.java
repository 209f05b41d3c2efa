package org.bronzelug.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Runs the production policy and the baselines with the same seeds, and prints the results and the
 * ratios between them. Not thread-safe.
 */
final class PolicyComparison {
    private final RunSettings settings;
    private final int seeds;
    private final Map<Policy, List<RunResult>> results = new EnumMap<>(Policy.class);

    PolicyComparison(RunSettings settings, int seeds) {
        this.settings = settings;
        this.seeds = seeds;
    }

    /** Runs each policy on a thread of its own, one seed after the other. */
    void run(List<Policy> policies) {
        List<Thread> threads = new ArrayList<>();
        for (Policy policy : policies) {
            List<RunResult> runs = new ArrayList<>();
            for (int seed = 0; seed < seeds; seed++) {
                runs.add(null);
            }
            results.put(policy, runs);
            threads.add(Thread.ofPlatform().start(() -> runSeeds(policy, runs)));
        }
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void runSeeds(Policy policy, List<RunResult> runs) {
        for (int seed = 0; seed < seeds; seed++) {
            Simulation run = new Simulation(settings, policy, 100 + seed);
            runs.set(seed, run.run());
        }
    }

    void print(PrintStream out) {
        out.printf(
                "%nprofile %s, fault %s, flood %s, %d streams per runner, %d seeds of %d s:"
                        + " median (least–most)%n",
                settings.profile().name(),
                settings.fault().label(),
                settings.flood(),
                settings.streamsPerRunner(),
                seeds,
                settings.seconds());
        out.printf(
                "%-27s %-22s %-28s %-28s %-22s %-24s%n",
                "policy",
                "hit rate",
                "first token p50 ms",
                "first token p99 ms",
                "recomputed ktokens",
                "worst/median team p99");
        for (Map.Entry<Policy, List<RunResult>> entry : results.entrySet()) {
            Policy policy = entry.getKey();
            out.printf(
                    "%-27s %-22s %-28s %-28s %-22s %-24s%n",
                    policy.label(),
                    spread(policy, RunResult::hitRate),
                    spread(policy, RunResult::firstTokenP50Millis),
                    spread(policy, RunResult::firstTokenP99Millis),
                    spread(policy, run -> run.recomputedTokens() / 1_000),
                    spread(policy, run -> run.worstTeamP99Millis() / run.medianTeamP99Millis()));
        }
        printRatios(out);
    }

    private void printRatios(PrintStream out) {
        if (!results.containsKey(Policy.BRONZELUG)) {
            return;
        }
        out.println("ratios between runs with the same seed:");
        printRatio(out, "hit rate / oracle", Policy.ORACLE, RunResult::hitRate);
        printRatio(out, "p99 / round robin", Policy.ROUND_ROBIN, RunResult::firstTokenP99Millis);
        printRatio(out, "p99 / rendezvous", Policy.RENDEZVOUS, RunResult::firstTokenP99Millis);
        printRatio(out, "p99 / least load", Policy.LEAST_LOAD, RunResult::firstTokenP99Millis);
        printRatio(out, "p99 / oracle", Policy.ORACLE, RunResult::firstTokenP99Millis);
        printRatio(out, "recomputed / oracle", Policy.ORACLE, RunResult::recomputedTokens);
        for (Policy ablation : List.of(Policy.NO_BELIEF, Policy.NO_STEERING, Policy.NO_FAIRNESS)) {
            printRatio(out, "p99 / " + ablation.label(), ablation, RunResult::firstTokenP99Millis);
            printRatio(out, "hit rate / " + ablation.label(), ablation, RunResult::hitRate);
            printRatio(
                    out,
                    "worst team's p99 / " + ablation.label(),
                    ablation,
                    RunResult::worstTeamP99Millis);
            printRatio(
                    out,
                    "median team's p99 / " + ablation.label(),
                    ablation,
                    RunResult::medianTeamP99Millis);
        }
        out.printf(
                "  %-40s %s%n",
                "fraction rejected within the rate",
                spread(
                        Policy.BRONZELUG,
                        run -> run.rejectedWithinRate() / Math.max(1, run.requests())));
        if (settings.fault().restartsAll()) {
            out.printf(
                    "  %-40s %s%n",
                    "hit rate, 1 s after / 5 s before restart",
                    spread(
                            Policy.BRONZELUG,
                            run -> run.hitRateAfterRestart() / run.hitRateBeforeRestart()));
        }
    }

    private void printRatio(
            PrintStream out,
            String name,
            Policy baselinePolicy,
            ToDoubleFunction<RunResult> metric) {
        List<RunResult> baseline = results.get(baselinePolicy);
        if (baseline == null) {
            return;
        }
        List<Double> ratios = new ArrayList<>();
        for (int seed = 0; seed < seeds; seed++) {
            double value = metric.applyAsDouble(results.get(Policy.BRONZELUG).get(seed));
            ratios.add(value / metric.applyAsDouble(baseline.get(seed)));
        }
        out.printf("  %-40s %s%n", name, Spread.of(ratios));
    }

    private Spread spread(Policy policy, ToDoubleFunction<RunResult> metric) {
        return Spread.of(results.get(policy).stream().mapToDouble(metric).boxed().toList());
    }

    /** Prints one JSON line for each run. */
    void printJson(PrintStream out) {
        results.forEach(
                (policy, runs) -> {
                    for (int seed = 0; seed < runs.size(); seed++) {
                        RunResult run = runs.get(seed);
                        out.printf(
                                "{\"profile\":\"%s\",\"fault\":\"%s\",\"flood\":%s,"
                                        + "\"policy\":\"%s\",\"seed\":%d,\"hitRate\":%.4f,"
                                        + "\"firstTokenP99Millis\":%.1f,"
                                        + "\"recomputedTokens\":%.0f,"
                                        + "\"worstTeamP99Millis\":%.1f,"
                                        + "\"medianTeamP99Millis\":%.1f}%n",
                                settings.profile().name(),
                                settings.fault().label(),
                                settings.flood(),
                                policy.label(),
                                seed,
                                run.hitRate(),
                                run.firstTokenP99Millis(),
                                run.recomputedTokens(),
                                run.worstTeamP99Millis(),
                                run.medianTeamP99Millis());
                    }
                });
    }

    /** Writes a chart of the median p99 time to first token of each policy. */
    void plot(Path file) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(1_000)
                        .height(500)
                        .title("p99 time to first token, ms: " + settings.profile().name())
                        .build();
        List<String> names = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (Policy policy : results.keySet()) {
            names.add(policy.label());
            values.add(spread(policy, RunResult::firstTokenP99Millis).median());
        }
        chart.addSeries("p99", names, values);
        chart.getStyler().setXAxisLabelRotation(30);
        chart.getStyler().setLegendVisible(false);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
