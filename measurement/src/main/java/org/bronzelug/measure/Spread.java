package org.bronzelug.measure;

import java.util.List;

/**
 * The minimum, median and maximum of a metric over several runs. Immutable.
 *
 * @param minimum the lowest value
 * @param median the middle value; the upper of the two if the number of values is even
 * @param maximum the highest value
 */
record Spread(double minimum, double median, double maximum) {
    static Spread of(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return new Spread(
                sorted.get(0), sorted.get(sorted.size() / 2), sorted.get(sorted.size() - 1));
    }

    @Override
    public String toString() {
        return String.format("%.3f (%.3f–%.3f)", median, minimum, maximum);
    }
}
