package org.bronzelug.measure;

import java.util.List;

/**
 * A straight line through measured points: what one more of something costs.
 *
 * @param name what is measured, with its unit
 * @param perItem the slope
 * @param fixed the cost of none
 * @param error the greatest distance of a point from the line, as a part of the greatest value
 */
record Slope(String name, double perItem, double fixed, double error) {
    /** A measured point. */
    record Point(double size, double value) {}

    /** The least-squares line. */
    static Slope fit(String name, List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
        double product = 0;
        double square = 0;
        for (Point point : points) {
            product += (point.size - meanSize) * (point.value - meanValue);
            square += (point.size - meanSize) * (point.size - meanSize);
        }
        double slope = product / square;
        double fixed = meanValue - slope * meanSize;
        double worst = 0;
        double greatest = 0;
        for (Point point : points) {
            worst = Math.max(worst, Math.abs(point.value - fixed - slope * point.size));
            greatest = Math.max(greatest, point.value);
        }
        return new Slope(name, slope, fixed, worst / greatest);
    }

    @Override
    public String toString() {
        return String.format(
                "%-58s %14.2f each, %14.0f fixed, error %5.1f %%",
                name, perItem, fixed, error * 100);
    }
}
