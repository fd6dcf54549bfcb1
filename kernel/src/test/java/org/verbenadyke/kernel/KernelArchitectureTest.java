package org.verbenadyke.kernel;

import org.junit.jupiter.api.Test;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Checks that the kernel does no I/O, starts no threads and uses no clock or randomness of its own. */
final class KernelArchitectureTest {
    private final JavaClasses kernel = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.verbenadyke.kernel");

    @Test
    void doesNoInputOrOutput() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.sql..", "io.netty..")
                .check(kernel);
    }

    @Test
    void startsNoThreadsAndNeverBlocks() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.concurrent.Executors")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(kernel);
    }

    @Test
    void readsNoClockAndNoGlobalRandomness() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(kernel);
    }
}
