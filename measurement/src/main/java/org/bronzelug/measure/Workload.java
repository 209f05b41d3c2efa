package org.bronzelug.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Generates prompts with nested shared prefixes: the team's rules, one of the team's sheets (chosen
 * by a Zipf distribution), and a unique question. The most frequent sheets change during the run.
 * Deterministic for a given seed. Not thread-safe.
 */
final class Workload {
    static final int SHEETS = 200;
    private static final int RULES_TOKENS = 2_000;
    private static final int SHEET_TOKENS = 800;
    private static final int QUESTION_TOKENS = 160;
    private static final double ZIPF_EXPONENT = 1.4;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int HOT_SET_SHIFT = 60;

    private final Profile profile;
    private final Random random;
    private final double[] cumulativeSheetWeights = new double[SHEETS];
    private final List<String> rules = new ArrayList<>();
    private final List<List<String>> sheets = new ArrayList<>();
    private int questions;

    Workload(Profile profile, Random random) {
        this.profile = profile;
        this.random = random;
        double sum = 0;
        for (int rank = 0; rank < SHEETS; rank++) {
            sum += Math.pow(rank + 1, -ZIPF_EXPONENT);
            cumulativeSheetWeights[rank] = sum;
        }
        for (int team = 0; team < profile.teamShares().size(); team++) {
            rules.add(padded("rules of " + team, RULES_TOKENS));
            List<String> teamSheets = new ArrayList<>();
            for (int sheet = 0; sheet < SHEETS; sheet++) {
                teamSheets.add(padded("sheet " + sheet + " of " + team, SHEET_TOKENS));
            }
            sheets.add(teamSheets);
        }
    }

    /** Draws the team of the next request according to the teams' fractions of the load. */
    int nextTeam() {
        double draw = random.nextDouble();
        int team = 0;
        while (team < profile.teamShares().size() - 1 && draw > profile.teamShares().get(team)) {
            draw -= profile.teamShares().get(team);
            team++;
        }
        return team;
    }

    /**
     * Draws a prompt of a team.
     *
     * @param shifted whether the most frequent sheets have changed
     */
    List<String> nextPrompt(int team, boolean shifted) {
        double draw = random.nextDouble() * cumulativeSheetWeights[SHEETS - 1];
        int rank = 0;
        while (cumulativeSheetWeights[rank] < draw) {
            rank++;
        }
        int sheet = shifted ? (rank + HOT_SET_SHIFT) % SHEETS : rank;
        String question = padded("question " + questions++, QUESTION_TOKENS);
        return List.of(rules.get(team), sheets.get(team).get(sheet), question);
    }

    private static String padded(String start, int tokens) {
        StringBuilder padded = new StringBuilder(start).append(' ');
        while (padded.length() < tokens * BYTES_PER_TOKEN) {
            padded.append('x');
        }
        return padded.substring(0, tokens * BYTES_PER_TOKEN);
    }
}
