package org.bronzelug.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Prompts with nested shared prefixes whose hot set shifts halfway: a team's rules, then one of its
 * sheets (Zipf), then the question. Deterministic for a seed; not thread-safe.
 */
final class Workload {
    static final int SHEETS = 200;
    private static final int RULES_TOKENS = 2_000;
    private static final int SHEET_TOKENS = 800;
    private static final int QUESTION_TOKENS = 160;
    private static final double ZIPF_EXPONENT = 1.4;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int SHIFT = 60;

    private final Profile profile;
    private final Random random;
    private final double[] sheetWeights = new double[SHEETS];
    private final List<String> rules = new ArrayList<>();
    private final List<List<String>> sheets = new ArrayList<>();
    private int questions;

    Workload(Profile profile, Random random) {
        this.profile = profile;
        this.random = random;
        double sum = 0;
        for (int rank = 0; rank < SHEETS; rank++) {
            sum += Math.pow(rank + 1, -ZIPF_EXPONENT);
            sheetWeights[rank] = sum;
        }
        for (int team = 0; team < profile.teamShares().size(); team++) {
            rules.add(text("rules of " + team, RULES_TOKENS));
            List<String> own = new ArrayList<>();
            for (int sheet = 0; sheet < SHEETS; sheet++) {
                own.add(text("sheet " + sheet + " of " + team, SHEET_TOKENS));
            }
            sheets.add(own);
        }
    }

    /** Draws the team of the next request. */
    int nextTeam() {
        double draw = random.nextDouble();
        int team = 0;
        while (team < profile.teamShares().size() - 1 && draw > profile.teamShares().get(team)) {
            draw -= profile.teamShares().get(team);
            team++;
        }
        return team;
    }

    /** Draws a prompt of a team. */
    List<String> nextPrompt(int team, boolean shifted) {
        double draw = random.nextDouble() * sheetWeights[SHEETS - 1];
        int rank = 0;
        while (sheetWeights[rank] < draw) {
            rank++;
        }
        int sheet = shifted ? (rank + SHIFT) % SHEETS : rank;
        String question = text("question " + questions++, QUESTION_TOKENS);
        return List.of(rules.get(team), sheets.get(team).get(sheet), question);
    }

    private static String text(String start, int tokens) {
        StringBuilder text = new StringBuilder(start).append(' ');
        while (text.length() < tokens * BYTES_PER_TOKEN) {
            text.append('x');
        }
        return text.substring(0, tokens * BYTES_PER_TOKEN);
    }
}
