package org.bronzelug.measure;

import java.util.List;

/**
 * A figure over several seeds. Immutable.
 *
 * @param least the least of the runs
 * @param median the middle one
 * @param most the greatest
 */
record Spread(double least, double median, double most) {
    static Spread of(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return new Spread(
                sorted.get(0), sorted.get(sorted.size() / 2), sorted.get(sorted.size() - 1));
    }

    @Override
    public String toString() {
        return String.format("%.3f (%.3f–%.3f)", median, least, most);
    }
}
