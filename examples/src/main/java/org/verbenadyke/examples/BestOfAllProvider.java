package org.verbenadyke.examples;

import java.util.Comparator;

import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.routing.Chooser;
import org.verbenadyke.kernel.routing.ChooserProvider;

/**
 * An example of a custom plug-in: chooses the candidate with the best score among all candidates instead of among two.
 * The plug-in is registered in {@code META-INF/services} and selected in the settings with
 * {@code chooser = best-of-all}.
 */
public final class BestOfAllProvider implements ChooserProvider {
    @Override
    public String name() {
        return "best-of-all";
    }

    @Override
    public Chooser create() {
        return (fit, random) -> fit.stream().min(Comparator.comparingDouble(Candidate::score));
    }
}
