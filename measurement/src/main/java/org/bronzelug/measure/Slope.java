package org.bronzelug.measure;

import java.util.List;

/**
 * A line fitted to measured costs at several sizes. Immutable.
 *
 * @param name the measured quantity, with its unit
 * @param perItem the slope: the cost of one more item
 * @param fixed the intercept: the cost of zero items
 * @param error the largest vertical distance of a point from the line, as a fraction of the largest
 *     value
 */
record Slope(String name, double perItem, double fixed, double error) {
    /** A measured value at a size. */
    record Point(double size, double value) {}

    /** Fits a line by least squares. */
    static Slope fit(String name, List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
        double covarianceSum = 0;
        double varianceSum = 0;
        for (Point point : points) {
            covarianceSum += (point.size - meanSize) * (point.value - meanValue);
            varianceSum += (point.size - meanSize) * (point.size - meanSize);
        }
        double slope = covarianceSum / varianceSum;
        double fixed = meanValue - slope * meanSize;
        double largestError = 0;
        double largestValue = 0;
        for (Point point : points) {
            largestError =
                    Math.max(largestError, Math.abs(point.value - fixed - slope * point.size));
            largestValue = Math.max(largestValue, point.value);
        }
        return new Slope(name, slope, fixed, largestError / largestValue);
    }

    @Override
    public String toString() {
        return String.format(
                "%-58s %14.2f each, %14.0f fixed, error %5.1f %%",
                name, perItem, fixed, error * 100);
    }
}
