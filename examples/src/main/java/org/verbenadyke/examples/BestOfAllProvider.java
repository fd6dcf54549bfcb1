package org.verbenadyke.examples;

import java.util.Comparator;

import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.routing.Chooser;
import org.verbenadyke.kernel.routing.ChooserProvider;

/**
 * A plug-in of one's own: chooses the candidate of the best score among all, not among two. It registers itself in
 * {@code META-INF/services} and is named in the settings as {@code chooser = best-of-all}.
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
