Feature: The build of the deploy file
  # Guards against a build that keeps native modules of another interpreter or another kind of
  # machine: it ended without an error, and no instance started.

  Scenario Outline: Packages of another build are replaced
    Given a checkout that was built for <before>
    When it is built for <now>
    Then the native modules are those of <now>
    And the packages were installed <times>

    Examples:
      | before                       | now                          | times |
      | cpython-313-aarch64-linux    | cpython-311-aarch64-linux    | twice |
      | cpython-311-x86_64-linux     | cpython-311-aarch64-linux    | twice |
      | cpython-311-aarch64-linux    | cpython-311-aarch64-linux    | once  |

  Scenario: Packages of a build that does not say what it was built for are replaced
    Given a checkout with packages for cpython-313-aarch64-linux and the present lock file
    When it is built for cpython-311-aarch64-linux
    Then the native modules are those of cpython-311-aarch64-linux

  Scenario: A build that was interrupted is begun again
    Given a checkout that was built for cpython-311-aarch64-linux
    And its build for cpython-313-aarch64-linux was interrupted
    When it is built for cpython-311-aarch64-linux
    Then the native modules are those of cpython-311-aarch64-linux
    And the packages were installed three times
