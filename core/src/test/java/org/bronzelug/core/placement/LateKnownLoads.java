package org.bronzelug.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/** The load of each runner as each VM knows it: its own at once, that of other VMs late. */
final class LateKnownLoads {
    private static final int STEP_MILLIS = 50;
    private static final int DELAY_STEPS = 10;

    private final int vms;
    private final int runners;
    private final int[][] tokens;
    private final int[][] streams;
    private final Deque<int[][][]> history = new ArrayDeque<>();

    LateKnownLoads(int vms, int runners) {
        this.vms = vms;
        this.runners = runners;
        this.tokens = new int[vms][runners];
        this.streams = new int[vms][runners];
    }

    void add(int vm, int runner, int addedTokens, int addedStreams) {
        tokens[vm][runner] += addedTokens;
        streams[vm][runner] += addedStreams;
    }

    void step(long millis) {
        if (millis % STEP_MILLIS == 0) {
            history.add(new int[][][] {withTotal(tokens), withTotal(streams)});
            if (history.size() > DELAY_STEPS + 1) {
                history.remove();
            }
        }
    }

    private int[][] withTotal(int[][] own) {
        int[][] copy = new int[vms + 1][runners];
        for (int vm = 0; vm < vms; vm++) {
            for (int runner = 0; runner < runners; runner++) {
                copy[vm][runner] = own[vm][runner];
                copy[vms][runner] += own[vm][runner];
            }
        }
        return copy;
    }

    RunnerLoad load(int vm, int runner, String name, String incarnation) {
        int[][][] past = history.element();
        int peerTokens = past[0][vms][runner] - past[0][vm][runner];
        int peerStreams = past[1][vms][runner] - past[1][vm][runner];
        return new RunnerLoad(
                name,
                incarnation,
                tokens[vm][runner] + peerTokens,
                streams[vm][runner] + peerStreams);
    }
}
